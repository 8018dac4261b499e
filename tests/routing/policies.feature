Feature: Routing policies

  Background:
    Given 6 routing targets
    And the routing prompt "arch" with levels 40000,60000 from team "north" and 1 shared

  Scenario: A prefix is sent to its first ranked target while that is not busy
    When the affinity policy ranks the targets
    Then the first candidate is the first ranked target

  Scenario: A prefix is sent to another target if the first ranked one is busy
    Given the first ranked target reports a queue of 60000 ms
    When the affinity policy ranks the targets
    Then the first candidate is not the first ranked target
    And the first candidate is among the first 3 ranked targets

  Scenario: With full reuse weight, a prefix stays at a busy target that has it cached
    Given the first ranked target reports a queue of 60000 ms
    And the first ranked target started the prompt
    When the affinity policy ranks the targets with reuse weight 1.0
    Then the first candidate is the first ranked target

  Scenario: Requests sent since the last load report count as load
    Given the first ranked target reports a queue of 0 ms
    And this process sent 60000 ms of prefill to the first ranked target
    When the affinity policy ranks the targets
    Then the first candidate is not the first ranked target

  Scenario: Requests sent before the last load report do not count again
    Given this process sent 60000 ms of prefill to the first ranked target
    And the first ranked target reports a queue of 0 ms
    When the affinity policy ranks the targets
    Then the first candidate is the first ranked target

  Scenario: A cache hint is dropped when the agent restarts
    Given the first ranked target started the prompt
    When the agent of the first ranked target restarts
    Then no cached pieces are expected at the first ranked target

  Scenario: A cache hint is dropped when the weights change
    Given the first ranked target started the prompt
    When the first ranked target starts another prompt with weights "w2"
    Then no cached pieces are expected at the first ranked target

  Scenario: A cache hint decays if pieces were evicted early
    Given the first ranked target started the prompt
    When the routing clock advances by 10000 ms
    And the first ranked target finds nothing cached of the prompt
    And the routing clock advances by 60000 ms
    Then fewer than 10 cached pieces are expected at the first ranked target

  Scenario: A hot prefix spreads over its width until the width hint expires
    Given a hint of width 3 for the prompt
    Then 30 prompts with the prefix prefer 3 targets
    When the routing clock advances by 20000 ms
    Then 30 prompts with the prefix prefer 1 targets

  Scenario: A widened prefix avoids a busy target even if only that one has it cached
    Given a hint of width 3 for the prompt
    And the first ranked target started the prompt
    And the first ranked target reports a queue of 900 ms
    When the affinity policy ranks the targets
    Then the first candidate is not the first ranked target

  Scenario: A prefix of width 1 moves if the wait outweighs the prefill
    Given the first ranked target started the prompt
    And the first ranked target reports a queue of 1500 ms
    When the affinity policy ranks the targets
    Then the first candidate is not the first ranked target

  Scenario: A prefix moves if the wait is longer than a prefill of the whole prompt
    Given the first ranked target started the prompt
    And the first ranked target reports a queue of 600 ms
    When the affinity policy ranks the targets
    Then the first candidate is not the first ranked target

  Scenario: A prefix stays where it is cached if the wait is shorter than the prefill
    Given the first ranked target started the prompt
    And the first ranked target reports a queue of 400 ms
    When the affinity policy ranks the targets
    Then the first candidate is the first ranked target

  Scenario: A draining target ranks last
    Given the first ranked target reports that it drains
    When the affinity policy ranks the targets
    Then the first candidate is not the first ranked target

  Scenario Outline: Each policy ranks all targets
    When the <policy> policy ranks the targets
    Then 6 targets are ranked

    Examples:
      | policy       |
      | round_robin  |
      | least_loaded |
      | prefix_hash  |
      | affinity     |

  Scenario: Cache states that agents report override cache hints
    Given the first ranked target started the prompt
    And the first ranked target reports 0 cached pieces
    And the second ranked target reports 15 cached pieces
    When the affinity policy ranks the targets
    Then the first candidate is the second ranked target

  Scenario: The width follows from the sum of the reported prefix utilizations
    Given the first ranked target reports a prefix utilization of 1.0
    And the second ranked target reports a prefix utilization of 0.7
    Then the affinity policy spreads the prefix over 3 targets

  Scenario Outline: With <queried> agents queried, a width hint of 4 yields width <width>
    Given a hint of width 4 for the prompt
    And <queried> agents are to be queried
    And the first ranked target reports a prefix utilization of 0.7
    And the second ranked target reports a prefix utilization of 0.7
    Then the affinity policy spreads the prefix over <width> targets

    Examples:
      | queried | width |
      | 2       | 4     |
      | 6       | 2     |

  Scenario: A new prefix avoids a target whose cache evicts pieces quickly
    Given the first ranked target reports a cache lifetime of 500 ms
    And the second ranked target reports a cache lifetime of 60000 ms
    When the affinity policy ranks the targets
    Then the first candidate is not the first ranked target
