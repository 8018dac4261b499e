Feature: A stopped agent cuts no request, whatever crashes beside it
  The checker judges from what the callers saw and the targets recorded.

  Background:
    Given a fleet of real processes with a fault proxy on every connection

  @cell.engine_crash.drain.announce @cell.engine_crash.drain.hand_back
  @cell.engine_crash.drain.finish @cell.engine_crash.drain.exit
  Scenario Outline: The engine crashes while a drain is at <step>
    When engine_crash strikes the fleet while an agent's drain is at <step>
    Then every call of the fleet is answered whole
    And the agent of the fleet ends with 0

    Examples:
      | step      |
      | announce  |
      | hand_back |
      | finish    |
      | exit      |

  @cell.agent_crash.drain.announce @cell.agent_crash.drain.hand_back
  @cell.agent_crash.drain.finish @cell.agent_crash.drain.exit
  Scenario Outline: The agent crashes while a drain is at <step>
    When agent_crash strikes the fleet while an agent's drain is at <step>
    Then every call of the fleet is answered whole

    Examples:
      | step      |
      | announce  |
      | hand_back |
      | finish    |
      | exit      |

  @cell.entry_restart.drain.announce @cell.entry_restart.drain.hand_back
  @cell.entry_restart.drain.finish @cell.entry_restart.drain.exit
  Scenario Outline: All entries restart while a drain is at <step>
    When entry_restart strikes the fleet while an agent's drain is at <step>
    Then every call of the fleet is answered whole
    And the agent of the fleet ends with 0

    Examples:
      | step      |
      | announce  |
      | hand_back |
      | finish    |
      | exit      |
