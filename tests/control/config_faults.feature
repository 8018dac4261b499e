Feature: Faults of control instances during a config change

  Background:
    Given a config fleet in full health

  @cell.fault_twice.config.propose @cell.fault_twice.config.commit
  @cell.fault_twice.config.spread @cell.fault_twice.config.in_force
  Scenario Outline: The leader is killed, and the next one too
    When a change is held at <step>
    And the leader is struck by two kills
    Then the change is made once and in force everywhere for good

    Examples:
      | step     |
      | propose  |
      | commit   |
      | spread   |
      | in_force |

  @cell.control_partition.config.propose @cell.control_partition.config.commit
  @cell.control_partition.config.spread @cell.control_partition.config.in_force
  Scenario Outline: The leader is cut off
    When a change is held at <step>
    And the leader is struck by <fault>
    Then the change is made once and in force everywhere for good

    Examples:
      | step     | fault         |
      | propose  | a cut         |
      | commit   | a cut         |
      | spread   | a cut         |
      | in_force | a one-way cut |

  @cell.partition_then_restart.config.propose
  @cell.partition_then_restart.config.commit
  @cell.partition_then_restart.config.spread
  @cell.partition_then_restart.config.in_force
  Scenario Outline: The leader is cut off and restarts meanwhile
    When a change is held at <step>
    And the leader is struck by a cut and a restart
    Then the change is made once and in force everywhere for good

    Examples:
      | step     |
      | propose  |
      | commit   |
      | spread   |
      | in_force |

  @cell.process_freeze.config.spread @cell.process_freeze.config.in_force
  Scenario Outline: The leader freezes and wakes
    When a change is held at <step>
    And the leader is struck by a freeze
    Then the change is made once and in force everywhere for good

    Examples:
      | step     |
      | spread   |
      | in_force |
