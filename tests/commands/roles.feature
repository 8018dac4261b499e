Feature: Running a role

  Scenario: The settings file of a role must have the role's section
    Given a settings file of the role "agent"
    When the role "entry" is run in a separate process
    Then the role's process exits with 1
    And standard error of the role contains "[entry]: this role requires the section"

  Scenario: A role with an invalid file prints every finding
    Given a settings file of the role "entry" with two problems
    When the role "entry" is run in a separate process
    Then the role's process exits with 1
    And standard error has 2 findings

  Scenario: A role that fails to start logs the reason in one line
    Given a settings file of the role "entry" whose port is taken
    When the role "entry" is run in a separate process
    Then the role's process exits with 1
    And standard error has one line with "event=failed" and "Address already in use"

  Scenario Outline: The <role> does not import modules that only other roles use
    Then importing the role "<role>" does not import "<modules>"

    Examples:
      | role    | modules                                |
      | entry   | cappa,rich,lycheering.control          |
      | agent   | cappa,rich,lycheering.control,uvicorn  |
      | control | cappa,rich,lycheering.entry            |

  # A settings change that was signalled while a process started ended it.
  Scenario Outline: SIGHUP does not end a process that is starting
    Given an entry that is started by "<command>"
    When it gets SIGHUP while it imports its modules
    Then it logs "event=started" and "event=reload"

    Examples:
      | command                 |
      | -m lycheering entry     |
      | deploy/start.py entry   |

  Scenario: The documentation lists each reason for a refusal
    Then the page of refusals lists every reason once
