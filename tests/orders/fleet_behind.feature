Feature: Orders run at most once, whatever restarts behind many changes

  Background:
    Given a fleet of services whose calls may not be repeated

  @cell.restart_behind.order.claim @cell.restart_behind.order.send
  @cell.restart_behind.order.run @cell.restart_behind.order.commit
  @cell.restart_behind.order.answer
  Scenario Outline: An instance and an entry come back at the <step>
    When 200 changes are made while a control instance and entry-1 are down
    And an order to <service> is held at its <step>
    And those that are behind start and the leader of control is lost
    And the order goes on
    And the caller sends the order to another entry until it is settled
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
