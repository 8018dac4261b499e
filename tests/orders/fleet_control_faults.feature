Feature: Orders run at most once, whatever befalls control

  Background:
    Given a fleet of services whose calls may not be repeated

  @cell.control_loss.order.claim @cell.control_loss.order.send
  @cell.control_loss.order.run @cell.control_loss.order.commit
  @cell.control_loss.order.answer
  Scenario Outline: The leader is killed at the <step> of an order
    When an order to <service> is held at its <step>
    And the leader of control is killed and started again
    And the order goes on
    And the caller sends the order to another entry until it is settled
    Then it ran at most once and every resend is told the same
    And it ran once and was answered

    Examples:
      | step   | service |
      | claim  | booking |
      | send   | billing |
      | run    | booking |
      | commit | billing |
      | answer | booking |

  @cell.control_partition.order.claim @cell.control_partition.order.send
  @cell.control_partition.order.run @cell.control_partition.order.commit
  @cell.control_partition.order.answer
  @cell.partition_then_restart.order.claim
  @cell.partition_then_restart.order.send
  @cell.partition_then_restart.order.run
  @cell.partition_then_restart.order.commit
  @cell.partition_then_restart.order.answer
  Scenario Outline: The leader is cut off, then restarts, at the <step>
    When an order to <service> is held at its <step>
    And the leader of control is cut off
    And the order goes on
    And the caller sends the order to another entry until it is settled
    And the leader that was cut off is started again
    And the leader that was cut off is back
    Then it ran at most once and every resend is told the same
    And it ran once and was answered

    Examples:
      | step   | service |
      | claim  | billing |
      | send   | booking |
      | run    | billing |
      | commit | booking |
      | answer | billing |

  @cell.fault_twice.order.claim @cell.fault_twice.order.send
  @cell.fault_twice.order.run @cell.fault_twice.order.commit
  @cell.fault_twice.order.answer
  Scenario Outline: Two leaders in a row are killed at the <step>
    When an order to <service> is held at its <step>
    And the leader of control is killed and started again
    And the next leader of control is killed and started again
    And the order goes on
    And the caller sends the order to another entry until it is settled
    Then it ran at most once and every resend is told the same
    And it ran once and was answered

    Examples:
      | step   | service |
      | claim  | billing |
      | send   | booking |
      | run    | billing |
      | commit | booking |
      | answer | billing |
