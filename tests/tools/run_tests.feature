Feature: The run of all tests says why scenarios failed

  Scenario Outline: A feature <tag> runs <when>
    Given a feature file that begins with "<tag>"
    Then it runs <when> the others

    Examples:
      | tag     | when   |
      | @alone  | after  |
      | @slow   | beside |

  Scenario: The reason of a failed scenario is its failed step and the error
    Given a report with a scenario whose step "it works" failed with "AssertionError: 5"
    When the report is read
    Then the scenario counts as failed, with the reason "it works: AssertionError: 5"
