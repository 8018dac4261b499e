Feature: Orders run at most once, whichever control instance is cut off

  Background:
    Given a fleet of services whose calls may not be repeated

  @cell.control_partition.order.claim @cell.control_partition.order.send
  @cell.control_partition.order.run @cell.control_partition.order.commit
  @cell.control_partition.order.answer
  Scenario Outline: The leader is cut off at the <step> of an order
    When an order to <service> is held at its <step>
    And the leader of control is cut off
    And the order goes on
    And the caller sends the order to another entry until it is settled
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

  @cell.partition_then_restart.order.claim @cell.partition_then_restart.order.send
  @cell.partition_then_restart.order.run
  @cell.partition_then_restart.order.commit
  @cell.partition_then_restart.order.answer
  Scenario Outline: A cut-off leader restarts at the <step> of an order
    When an order to <service> is held at its <step>
    And the leader of control is cut off
    And the leader that was cut off is started again
    And the order goes on
    And the caller sends the order to another entry until it is settled
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
