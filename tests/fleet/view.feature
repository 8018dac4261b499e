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
