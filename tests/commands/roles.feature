Feature: Running a role

  Scenario: A role's file must have the role's section
    Given a settings file of the role "agent"
    When the role "entry" is run in a process of its own
    Then the role's process exits with 1
    And it says "[entry]: this role requires the section"

  Scenario: A role with a faulty file says all that is wrong
    Given a settings file of the role "entry" with two faults
    When the role "entry" is run in a process of its own
    Then the role's process exits with 1
    And it says 2 findings

  Scenario: A role whose start fails says why in one line
    Given a settings file of the role "entry" whose port is taken
    When the role "entry" is run in a process of its own
    Then the role's process exits with 1
    And it says one line with "event=failed" and "Address already in use"

  Scenario Outline: The <role> imports nothing that only others use
    Then importing the role "<role>" leaves "<modules>" alone

    Examples:
      | role    | modules                                |
      | entry   | cappa,rich,lycheering.control          |
      | agent   | cappa,rich,lycheering.control,uvicorn  |
      | control | cappa,rich,lycheering.entry            |

  Scenario: Each reason for a refusal is explained to operators
    Then the page of refusals names every reason once
