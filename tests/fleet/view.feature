Feature: The fleet view

  Scenario Outline: The narrowest exception wins: <scopes>
    Given a fleet view with exceptions of "<scopes>"
    Then the fleet value for target t, team a, service s, model m in d is of "<winner>"

    Examples:
      | scopes                                   | winner         |
      | target,team,service,model,failure_domain | target         |
      | failure_domain,model,service,team        | team           |
      | model,service,failure_domain             | service        |
      | failure_domain,model                     | model          |
      | failure_domain                           | failure_domain |
      | none                                     | default        |

  # A team's pieces were found by others after it stopped sharing their levels.
  @promise.no_foreign_cache
  Scenario Outline: <changes> begins <count> sharing generations
    Given a fleet view with 2 shared levels of prompts
    When its shared levels are changed by "<changes>"
    Then <count> of the changes began a sharing generation
    And a peer of the view has the same sharing generation

    Examples:
      | changes                     | count |
      | default=1                   | 1     |
      | default=3                   | 0     |
      | team a=0                    | 1     |
      | team a=2                    | 0     |
      | team a=3, remove team a     | 1     |
      | team a=0, remove team a     | 1     |
      | team a=0, team a=1          | 1     |
      | team a=0, team a=1, team a=0 | 2    |
      | model m=1, team a=1         | 2     |
      | other=1                     | 0     |

  Scenario: An exception for another name does not apply
    Given a fleet view with an exception of target other
    Then the fleet value for target t, team a, service s, model m in d is of "default"

  Scenario: Changes that arrive again or late are applied only once
    Given two fleet views that get the same changes
    When one fleet view receives them again in random batches
    Then both fleet views are equal

  Scenario: A missing change is reported as a gap and nothing is applied
    Given two fleet views that get the same changes
    When one fleet view receives a change that is two revisions ahead
    Then it reports a gap and stays unchanged

  Scenario: A whole view from an earlier release still has the requested weights
    Given a whole view with only the latest weights request of each model
    When a new fleet view restores it
    Then it has a request for weights 3 at the time in the whole view

  Scenario: A whole view never replaces a newer one
    Given two fleet views that get the same changes
    When one fleet view changes again and receives a snapshot of the other
    Then it keeps its newer revision and values

  Scenario: A removed exception and a removed team no longer apply
    Given a fleet view with an exception and a team with a key
    When the exception and the team are removed from the fleet view
    Then the fleet value is the default and the key identifies no team

  Scenario: The old key of a replaced team identifies no team
    Given a fleet view with an exception and a team with a key
    When the team gets another key in the fleet view
    Then only the other key identifies the team

  Scenario: A wait for a revision ends when the view reaches it
    Given a fleet view holder
    When a task waits for fleet revision 2 and two changes arrive
    Then the wait for the fleet revision ends
    And the fleet listeners were called twice

  Scenario: An interrupted transfer continues from another source
    Given a fleet view of many parts and two sources of it
    When a fleet receiver fetches 2 parts from one source and the rest from another
    Then the fleet receiver has the view and received each part once

  Scenario: A transfer restarts when its view was replaced, without mixing parts
    Given a fleet view of many parts and two sources of it
    When a fleet receiver fetches 2 parts and the view is replaced twice
    Then the fleet receiver has the newer view in the end

  Scenario: Damaged parts do not form a view
    Given a fleet view of many parts and two sources of it
    When a fleet receiver receives a damaged part
    Then the fleet receiver reports a malformed view and has none

  Scenario: All receivers share one encoded view
    Given a fleet view of many parts and two sources of it
    When many fleet receivers with and without teams fetch the view
    Then the view was encoded once with teams and once without
    And the whole view without teams consists of one part

  Scenario: A cached whole view is sent with the changes since its encoding
    Given a fleet view of many parts and two sources of it
    When a fleet receiver fetches the whole view and 3 changes follow
    And another fleet receiver fetches the whole view
    Then the other fleet receiver applied only the newest view

  Scenario: Only a few whole views are sent at once, other receivers retry later
    Given a fleet view of many parts and two sources of it
    When many fleet receivers request the view at once
    Then a few fleet receivers get parts and the rest staggered retry times
    And idle fleet receivers lose their slots
