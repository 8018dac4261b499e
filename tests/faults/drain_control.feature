Feature: A stopped agent cuts no request, whatever crashes far from it
  The checker judges from what the callers saw and the targets recorded.

  Background:
    Given a fleet of real processes with a fault proxy on every connection

  @cell.control_loss.drain.announce @cell.control_loss.drain.hand_back
  @cell.control_loss.drain.finish @cell.control_loss.drain.exit
  Scenario Outline: The leader crashes while a drain is at <step>
    When control_loss strikes the fleet while an agent's drain is at <step>
    Then every call of the fleet is answered whole
    And no caller of the fleet saw the fault
    And the agent of the fleet ends with 0

    Examples:
      | step      |
      | announce  |
      | hand_back |
      | finish    |
      | exit      |

  @cell.fault_twice.drain.announce @cell.fault_twice.drain.hand_back
  @cell.fault_twice.drain.finish @cell.fault_twice.drain.exit
  Scenario Outline: The leader crashes, and the next one, while a drain is at <step>
    When leader_twice strikes the fleet while an agent's drain is at <step>
    Then every call of the fleet is answered whole
    And no caller of the fleet saw the fault
    And the agent of the fleet ends with 0

    Examples:
      | step      |
      | announce  |
      | hand_back |
      | finish    |
      | exit      |

  @cell.restart_behind.drain.announce @cell.restart_behind.drain.hand_back
  @cell.restart_behind.drain.finish @cell.restart_behind.drain.exit
  Scenario Outline: An entry comes back behind hundreds of changes while a drain is at <step>
    When restart_behind strikes the fleet while an agent's drain is at <step>
    Then every call of the fleet is answered whole
    And the agent of the fleet ends with 0

    Examples:
      | step      |
      | announce  |
      | hand_back |
      | finish    |
      | exit      |
