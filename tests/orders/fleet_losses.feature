Feature: Orders run at most once, whichever control instances are lost

  Background:
    Given a fleet of services whose calls may not be repeated

  @cell.disk_loss.order.claim @cell.disk_loss.order.send
  @cell.disk_loss.order.run @cell.disk_loss.order.commit
  @cell.disk_loss.order.answer
  Scenario Outline: The leader loses its disk at the <step> of an order
    When an order to <service> is held at its <step>
    And the leader of control loses its disk
    And the order goes on
    And the caller sends the order to another entry until it is settled
    And the instance that lost its disk is replaced
    Then it ran at most once and every resend is told the same
    And it ran once and was answered
    And no change of the operators was lost

    Examples:
      | step   | service |
      | claim  | billing |
      | send   | booking |
      | run    | billing |
      | commit | booking |
      | answer | billing |

  @cell.repair_then_loss.order.claim @cell.repair_then_loss.order.send
  @cell.repair_then_loss.order.run @cell.repair_then_loss.order.commit
  @cell.repair_then_loss.order.answer
  Scenario Outline: A second instance is lost after a repair at the <step>
    When a control instance that lost its disk was replaced
    And an order to <service> is held at its <step>
    And the leader of control is lost too
    And the order goes on
    And the caller sends the order to another entry until it is settled
    Then it ran at most once and every resend is told the same
    And it ran once and was answered
    And no change of the operators was lost

    Examples:
      | step   | service |
      | claim  | booking |
      | send   | billing |
      | run    | booking |
      | commit | billing |
      | answer | booking |
