Feature: Cuts and freezes during the repair of a control instance

  Background:
    Given a config fleet of which one control instance lost its disk

  @cell.control_partition.repair.add @cell.control_partition.repair.catch_up
  @cell.control_partition.repair.promote @cell.control_partition.repair.remove
  Scenario Outline: The leader is cut off
    When its repair has come to <step>
    And the leader is cut off until others would act
    Then the repair ends as reported, with nothing lost

    Examples:
      | step     |
      | add      |
      | catch_up |
      | promote  |
      | remove   |

  @cell.partition_then_restart.repair.add @cell.partition_then_restart.repair.catch_up
  @cell.partition_then_restart.repair.promote @cell.partition_then_restart.repair.remove
  Scenario Outline: The newcomer is cut off and restarts meanwhile
    When its repair has come to <step>
    And the newcomer is cut off and restarts meanwhile
    Then the repair ends as reported, with nothing lost

    Examples:
      | step     |
      | add      |
      | catch_up |
      | promote  |
      | remove   |

  @cell.process_freeze.repair.add @cell.process_freeze.repair.catch_up
  @cell.process_freeze.repair.promote @cell.process_freeze.repair.remove
  Scenario Outline: The leader freezes and wakes
    When its repair has come to <step>
    And the leader freezes until others would act
    Then the repair ends as reported, with nothing lost

    Examples:
      | step     |
      | add      |
      | catch_up |
      | promote  |
      | remove   |
