Feature: An order runs at most once

  Scenario: An order runs and its answer is kept
    Given a registered agent beside a service
    When an entry submits order "o1" with fence 7
    Then the order is finished
    And the inquiry for order "o1" has the answer as "done"
    And the service ran 1 call with fence 7

  Scenario: An order that was inquired about before its arrival never runs
    Given a registered agent beside a service
    When control inquires for order "o1"
    Then the inquiry says "never_received"
    When an entry submits order "o1" with fence 7
    Then the order is not run because of "blocked"
    And the service ran 0 calls
    And the agent counts 1 refusal as "blocked" when asked

  Scenario: An order sent under another attempt is not run again
    Given a registered agent beside a service
    When an entry submits order "o1" with fence 7
    And an entry submits order "o1" with fence 7 as attempt 2
    Then the order is broken because of "blocked"
    And the service ran 1 call with fence 7

  Scenario: An order with an old fencing number is refused
    Given a registered agent beside a service
    When an entry submits order "o1" with fence 4
    Then the order is not run because of "fenced"
    And the service ran 0 calls

  Scenario: An agent that has not registered accepts no orders
    Given an agent without a quorum beside a service
    When an entry submits order "o1" with fence 7
    Then the order is not run because of "no_quorum"
    And the service ran 0 calls

  Scenario: An agent that was suspended just before sending sends no order
    Given a registered agent beside a service
    And the agent is suspended for 5000 ms between connecting and sending
    When an entry submits order "o1" with fence 7
    Then the order is not run because of "expired"
    And an inquiry for order "o1" says "never_received"
    And the service ran 0 calls

  Scenario: An order is not run if its deadline passed while the agent was suspended
    Given a registered agent beside a service
    And the agent is suspended for 90000 ms between connecting and sending
    When an entry submits order "o1" with fence 7
    Then the order is not run because of "deadline"
    And the service ran 0 calls

  Scenario Outline: An order whose answer is lost is unknown and never sent again
    Given a registered agent beside a service that <fails>
    When an entry submits order "o1" with fence 7
    Then the order is broken because of "<reason>"
    And an inquiry for order "o1" says "unknown"
    When an entry submits order "o1" with fence 7 as attempt 2
    Then the order is broken because of "blocked"
    And the target received 1 request

    Examples:
      | fails               | reason        |
      | hangs up            | target_failed |
      | goes silent at once | silent        |

  Scenario: An order's outcome is known even if its entry disconnects
    Given a registered agent beside a service that takes 300 ms
    When an entry disconnects after order "o1" with fence 7
    And it is cancelled
    Then inquiries for order "o1" say "running", later "done"
    And the service ran 1 call with fence 7

  Scenario: A waiting order is blocked by an inquiry
    Given an order registry that received order "o1"
    When the registry is asked for order "o1"
    Then the registry answers "never_received"
    And the registry refuses to send order "o1"

  Scenario: A full registry refuses new orders rather than forget old ones
    Given an order registry with room for 2 orders
    When 3 orders arrive at the registry
    Then the registry refuses the last one as "full"
    And the registry remembers the first 2
    When the retention time of the registry passes
    Then the registry accepts another order

  Scenario: Orders are sent in the order of their fences if the target checks them
    Given an order registry that received orders with fences 5 and 6
    When the order with fence 6 is sent
    Then the order with fence 5 may only be sent if fences are not checked
