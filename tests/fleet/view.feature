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

  Scenario: An exception of another name does not apply
    Given a fleet view with an exception of target other
    Then the fleet value for target t, team a, service s, model m in d is of "default"

  Scenario: Changes are applied once, whatever comes twice or late
    Given two fleet views that get the same changes
    When one fleet view gets them once more in pieces of any size
    Then both fleet views are equal

  Scenario: A missing change is a gap and changes nothing
    Given two fleet views that get the same changes
    When one fleet view gets a change that is two ahead
    Then it reports a gap and stays as it was

  Scenario: A whole view of an earlier release still names weights
    Given a whole view that tells only the newest weights of each model
    When a new fleet view takes it over
    Then it names weights 3 since the time that was told

  Scenario: A whole view never replaces a newer one
    Given two fleet views that get the same changes
    When one fleet view changes again and is given the other as a whole
    Then it keeps its newer revision and values

  Scenario: A removed exception and a removed team are gone
    Given a fleet view with an exception and a team with a key
    When the exception and the team are removed from the fleet view
    Then the fleet value is the default and the key names nobody

  Scenario: A replaced team's old key names nobody
    Given a fleet view with an exception and a team with a key
    When the team gets another key in the fleet view
    Then only the other key names the team

  Scenario: Waiting ends when the revision is in force
    Given a fleet view holder
    When somebody waits for fleet revision 2 and two changes come
    Then the wait for the fleet revision ends
    And the fleet listeners were called twice

  Scenario: A transfer that broke off goes on at another source
    Given a fleet view of many parts and two sources of it
    When a fleet receiver takes 2 parts from one source and the rest from the other
    Then the fleet receiver has the view and got each part once

  Scenario: A view that is replaced on the way is begun anew, not mixed
    Given a fleet view of many parts and two sources of it
    When a fleet receiver takes 2 parts and the view is replaced twice
    Then the fleet receiver has the newer view in the end

  Scenario: Parts that were damaged on the way make no view
    Given a fleet view of many parts and two sources of it
    When a fleet receiver gets a part that was damaged
    Then the fleet receiver reports a malformed view and holds none

  Scenario: All receivers share one encoded view
    Given a fleet view of many parts and two sources of it
    When many fleet receivers with and without teams take the view
    Then it was encoded once for those with teams and once for the others
    And the whole view without teams is one part

  Scenario: A whole view that was encoded before comes with what changed since
    Given a fleet view of many parts and two sources of it
    When a fleet receiver takes the whole view and 3 changes follow
    And another fleet receiver takes the whole view
    Then the other fleet receiver put only the newest view in force

  Scenario: Whole views leave a few at once, the rest is told when to come back
    Given a fleet view of many parts and two sources of it
    When a herd of fleet receivers asks for the view at once
    Then a few fleet receivers get parts and the rest come back one by one
    And fleet receivers that go silent give their places up
