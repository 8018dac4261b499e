Feature: Orders run at most once, whatever freezes and wakes too late

  Background:
    Given a fleet of services whose calls may not be repeated

  @cell.process_freeze.order.claim @cell.process_freeze.order.send
  @cell.process_freeze.order.commit @cell.process_freeze.order.answer
  Scenario Outline: The entry freezes at the <step> and wakes too late
    When an order to <service> is held at its <step>
    And the order's entry freezes
    And the order goes on
    And the caller sends the order to another entry until it is settled
    And it wakes after its leases ended
    Then it ran at most once and every resend is told the same
    And it ran once and was answered

    Examples:
      | step   | service |
      | claim  | billing |
      | send   | booking |
      | run    | billing |
      | commit | booking |
      | answer | billing |

  Scenario Outline: The agent freezes at the <step> and wakes too late
    When an order to <service> is held at its <step>
    And the order's agent freezes
    And the order goes on
    And it wakes after its leases ended
    And the caller sends the order to another entry until it is settled
    Then it ran at most once and every resend is told the same

    Examples:
      | step  | service |
      | claim | billing |
      | send  | booking |
      | run   | billing |

  @cell.process_freeze.order.run
  Scenario Outline: The leader freezes at the <step> and wakes too late
    When an order to <service> is held at its <step>
    And the leader of control freezes
    And the order goes on
    And the caller sends the order to another entry until it is settled
    And it wakes after its leases ended
    Then it ran at most once and every resend is told the same
    And it ran once and was answered

    Examples:
      | step   | service |
      | claim  | billing |
      | run    | billing |
      | commit | booking |
