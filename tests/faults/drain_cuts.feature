Feature: A stopped agent cuts no request, whatever is cut off
  The checker judges from what the callers saw and the targets recorded.

  Background:
    Given a fleet of real processes with a fault proxy on every connection

  @cell.control_partition.drain.announce @cell.control_partition.drain.hand_back
  @cell.control_partition.drain.finish @cell.control_partition.drain.exit
  Scenario Outline: The leader is cut off while a drain is at <step>
    When control_partition strikes the fleet while an agent's drain is at <step>
    Then every call of the fleet is answered whole
    And no caller of the fleet saw the fault
    And the agent of the fleet ends with 0

    Examples:
      | step      |
      | announce  |
      | hand_back |
      | finish    |
      | exit      |

  @cell.partition_then_restart.drain.announce
  @cell.partition_then_restart.drain.hand_back
  @cell.partition_then_restart.drain.finish
  @cell.partition_then_restart.drain.exit
  Scenario Outline: Cut-off processes restart while a drain is at <step>
    When partition_then_restart strikes the fleet while an agent's drain is at <step>
    Then every call of the fleet is answered whole
    And the agent of the fleet ends with 0

    Examples:
      | step      |
      | announce  |
      | hand_back |
      | finish    |
      | exit      |

  @cell.silent_connection.drain.announce @cell.silent_connection.drain.hand_back
  @cell.silent_connection.drain.finish @cell.silent_connection.drain.exit
  Scenario Outline: Connections between processes go silent while a drain is at <step>
    When silent_inner strikes the fleet while an agent's drain is at <step>
    Then every call of the fleet is answered whole
    And no caller of the fleet saw the fault
    And the agent of the fleet ends with 0

    Examples:
      | step      |
      | announce  |
      | hand_back |
      | finish    |
      | exit      |
