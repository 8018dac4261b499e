Feature: An order runs at most once

  Scenario: An order runs and its answer is kept
    Given a registered agent beside a service
    When an entry submits order "o1" with fence 7
    Then the order is finished
    And the inquiry for order "o1" has the answer as "done"
    And the service ran 1 call with fence 7

  Scenario: An order that was asked for before it came never runs
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

  Scenario: An old fencing number is refused
    Given a registered agent beside a service
    When an entry submits order "o1" with fence 4
    Then the order is not run because of "fenced"
    And the service ran 0 calls

  Scenario: An agent that has not registered takes no order
    Given an agent without a quorum beside a service
    When an entry submits order "o1" with fence 7
    Then the order is not run because of "no_quorum"
    And the service ran 0 calls

  Scenario: An agent that stood still just before sending sends no order
    Given a registered agent beside a service
    And the agent stands still for 5000 ms between connecting and sending
    When an entry submits order "o1" with fence 7
    Then the order is not run because of "expired"
    And an inquiry for order "o1" says "never_received"
    And the service ran 0 calls

  Scenario: An order that ended is past its deadline when the agent wakes
    Given a registered agent beside a service
    And the agent stands still for 90000 ms between connecting and sending
    When an entry submits order "o1" with fence 7
    Then the order is not run because of "deadline"
    And the service ran 0 calls

  Scenario Outline: An order whose answer is lost is unknown, never sent again
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

  Scenario: An order's outcome is known though its entry went away
    Given a registered agent beside a service that takes 300 ms
    When an entry goes away after order "o1" with fence 7
    And it is cancelled
    Then inquiries for order "o1" say "running", later "done"
    And the service ran 1 call with fence 7

  Scenario: An order that waits is blocked by an inquiry
    Given an order desk that received order "o1"
    When the desk is asked for order "o1"
    Then the desk answers "never_received"
    And the desk does not let order "o1" leave

  Scenario: A full desk refuses rather than forgets
    Given an order desk with room for 2 orders
    When 3 orders come to the desk
    Then the desk refuses the last one as "full"
    And the desk remembers the first 2
    When the retention time passes at the desk
    Then the desk takes another order

  Scenario: Orders leave in order for a target that checks them
    Given an order desk that received orders with fences 5 and 6
    When the order with fence 6 leaves
    Then the order with fence 5 may only leave if the target checks nothing
