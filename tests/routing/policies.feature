Feature: Routing policies

  Background:
    Given 6 routing targets
    And the routing prompt "arch" of levels 40000,60000 asked by "north" with 1 shared

  Scenario: A prefix goes to its first target while that is not busy
    When the affinity policy orders the targets
    Then the first candidate is the first ranked target

  Scenario: A busy target loses the prefix to the next one
    Given the first ranked target reports a queue of 60000 ms
    When the affinity policy orders the targets
    Then the first candidate is not the first ranked target
    And the first candidate is among the first 3 ranked targets

  Scenario: Full weight on reuse keeps the prefix at a busy target that holds it
    Given the first ranked target reports a queue of 60000 ms
    And the first ranked target started the prompt
    When the affinity policy orders the targets with reuse weight 1.0
    Then the first candidate is the first ranked target

  Scenario: Own work in flight counts before the next report
    Given the first ranked target reports a queue of 0 ms
    And this process sent 60000 ms of prefill to the first ranked target
    When the affinity policy orders the targets
    Then the first candidate is not the first ranked target

  Scenario: A report newer than the own work replaces it
    Given this process sent 60000 ms of prefill to the first ranked target
    And the first ranked target reports a queue of 0 ms
    When the affinity policy orders the targets
    Then the first candidate is the first ranked target

  Scenario: A hint falls with the agent's incarnation
    Given the first ranked target started the prompt
    When the agent of the first ranked target restarts
    Then no cached pieces are expected at the first ranked target

  Scenario: A hint falls with the weights
    Given the first ranked target started the prompt
    When the first ranked target starts another prompt with weights "w2"
    Then no cached pieces are expected at the first ranked target

  Scenario: A hint fades when the cache proves short-lived
    Given the first ranked target started the prompt
    When the routing clock advances by 10000 ms
    And the first ranked target finds nothing cached of the prompt
    And the routing clock advances by 60000 ms
    Then fewer than 10 cached pieces are expected at the first ranked target

  Scenario: A hot prefix spreads over its width and shrinks back
    Given a hint of width 3 for the prompt
    Then 30 prompts under the prefix go first to 3 targets
    When the routing clock advances by 20000 ms
    Then 30 prompts under the prefix go first to 1 targets

  Scenario: A widened prefix leaves a busy target though only that holds it
    Given a hint of width 3 for the prompt
    And the first ranked target started the prompt
    And the first ranked target reports a queue of 900 ms
    When the affinity policy orders the targets
    Then the first candidate is not the first ranked target

  Scenario: A wait that outweighs the prefill moves a prefix of width 1
    Given the first ranked target started the prompt
    And the first ranked target reports a queue of 1500 ms
    When the affinity policy orders the targets
    Then the first candidate is not the first ranked target

  Scenario: A wait much longer than the prefill is not worth reuse
    Given the first ranked target started the prompt
    And the first ranked target reports a queue of 600 ms
    When the affinity policy orders the targets
    Then the first candidate is not the first ranked target

  Scenario: A wait shorter than the prefill keeps a prefix where it is held
    Given the first ranked target started the prompt
    And the first ranked target reports a queue of 400 ms
    When the affinity policy orders the targets
    Then the first candidate is the first ranked target

  Scenario: A draining target is taken last
    Given the first ranked target reports that it drains
    When the affinity policy orders the targets
    Then the first candidate is not the first ranked target

  Scenario Outline: Baselines order all targets
    When the <policy> policy orders the targets
    Then 6 targets are ordered

    Examples:
      | policy       |
      | round_robin  |
      | least_loaded |
      | prefix_hash  |
      | affinity     |

  Scenario: What an agent tells goes before what was learned earlier
    Given the first ranked target started the prompt
    And the first ranked target tells that it holds 0 pieces
    And the second ranked target tells that it holds 15 pieces
    When the affinity policy orders the targets
    Then the first candidate is the second ranked target

  Scenario: The uses that agents tell add up to the width
    Given the first ranked target tells that its prefix uses 1.0 of it
    And the second ranked target tells that its prefix uses 0.7 of it
    Then the affinity policy spreads the prefix over 3 targets

  Scenario Outline: Where <asked> agents were asked, a hint of width 4 is worth <width>
    Given a hint of width 4 for the prompt
    And <asked> agents were to be asked
    And the first ranked target tells that its prefix uses 0.7 of it
    And the second ranked target tells that its prefix uses 0.7 of it
    Then the affinity policy spreads the prefix over <width> targets

    Examples:
      | asked | width |
      | 2     | 4     |
      | 6     | 2     |

  Scenario: A new prefix goes where displacing others costs least
    Given the first ranked target tells a cache life of 500 ms
    And the second ranked target tells a cache life of 60000 ms
    When the affinity policy orders the targets
    Then the first candidate is not the first ranked target
