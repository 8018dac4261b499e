Feature: Orders run at most once, whatever goes silent or freezes

  Background:
    Given a fleet of services whose calls may not be repeated

  @cell.silent_connection.order.claim @cell.silent_connection.order.send
  @cell.silent_connection.order.run @cell.silent_connection.order.commit
  @cell.silent_connection.order.answer
  @cell.silence_once_call.order.claim @cell.silence_once_call.order.send
  @cell.silence_once_call.order.run @cell.silence_once_call.order.commit
  @cell.silence_once_call.order.answer
  Scenario Outline: The connections go silent at the <step> of an order
    When an order to <service> is held at its <step>
    And the connections that carry the step go silent
    And the order goes on
    And the caller sends the order to another entry until it is settled
    Then it ran at most once and every resend is told the same

    Examples:
      | step   | service |
      | claim  | billing |
      | send   | booking |
      | run    | billing |
      | run    | booking |
      | commit | booking |
      | answer | billing |

  @cell.process_freeze.order.claim @cell.process_freeze.order.send
  @cell.process_freeze.order.run @cell.process_freeze.order.commit
  @cell.process_freeze.order.answer
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
      | commit | booking |
