Feature: Orders run at most once, whatever fails at whichever step

  Background:
    Given a fleet of services whose calls may not be repeated

  @cell.entry_restart.order.claim @cell.entry_restart.order.send
  @cell.entry_restart.order.run @cell.entry_restart.order.commit
  @cell.entry_restart.order.answer
  Scenario Outline: The entry is killed at the <step> of an order
    When an order to <service> is held at its <step>
    And the order's entry is killed and started again
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

  @cell.agent_crash.order.claim @cell.agent_crash.order.send
  @cell.agent_crash.order.run
  Scenario Outline: The agent is killed at the <step> of an order
    When an order to <service> is held at its <step>
    And the order's agent is killed and started again
    And the order goes on
    And the caller sends the order to another entry until it is settled
    Then it ran at most once and every resend is told the same

    Examples:
      | step  | service |
      | claim | billing |
      | send  | booking |
      | run   | billing |
      | run   | booking |

  @cell.engine_crash.order.send @cell.engine_crash.order.run
  Scenario Outline: The target is killed at the <step> of an order
    When an order to <service> is held at its <step>
    And the order's target is killed and started again
    And the order goes on
    And the caller sends the order to another entry until it is settled
    Then it ran at most once and every resend is told the same

    Examples:
      | step | service |
      | send | booking |
      | run  | billing |
