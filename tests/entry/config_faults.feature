Feature: Faults of entries and agents during a config change

  Background:
    Given a config fleet in full health

  @cell.entry_restart.config.spread @cell.entry_restart.config.in_force
  @cell.agent_crash.config.spread @cell.agent_crash.config.in_force
  Scenario Outline: Entries or agents are killed and restart
    When a change is held at <step>
    And <names> are killed and restart at once
    Then the change is made once and in force everywhere for good

    Examples:
      | step     | names       |
      | spread   | the entries |
      | in_force | the entries |
      | spread   | the agents  |
      | in_force | the agents  |

  @cell.process_freeze.config.spread @cell.process_freeze.config.in_force
  Scenario Outline: Entries or agents freeze and wake
    When a change is held at <step>
    And <names> freeze for long
    Then the change is made once and in force everywhere for good

    Examples:
      | step     | names       |
      | spread   | the entries |
      | in_force | the agents  |

  @cell.partition_then_restart.config.in_force
  Scenario: An entry that restarts while cut off keeps what it had
    When a change is held at in_force
    And the entries are cut off and restart at once
    And a restarted entry holds what it had while it is cut off
    Then the change is made once and in force everywhere for good

  @cell.partition_then_restart.config.spread
  Scenario: An entry that lacks a change restarts while cut off
    When a change is held at spread
    And the entries are cut off and restart at once
    Then the change is made once and in force everywhere for good

  @cell.restart_behind.config.spread
  Scenario: An entry that restarts behind hundreds of changes has the newest
    When 300 changes are made while the entries are down
    Then a restarted entry is ready only with the last of them in force
