Feature: Orders run at most once

  Background:
    Given an entry with fake peers
    And calls of the service "portal" may not be repeated

  Scenario: A call that may not be repeated needs a key
    When a caller calls the service without a key
    Then the entry answers 400 with reason "bad_request", not run
    And the service ran 0 times

  Scenario: A resend gets the stored answer
    When a caller calls the service with key "k1" and body "a"
    Then the caller gets the service's answer of run 1, state "finished"
    When a caller calls the service with key "k1" and body "a"
    Then the caller gets the service's answer of run 1, state "finished"
    And the service ran 1 times

  Scenario: A key used for another body is refused
    When a caller calls the service with key "k1" and body "a"
    And a caller calls the service with key "k1" and body "b"
    Then the entry answers 409 with reason "key_reused", not run
    And the service ran 1 times

  Scenario: Two teams may use the same key
    When a caller calls the service with key "k1" and body "a"
    And a caller of "south" calls the service with key "k1" and body "a"
    Then the service ran 2 times

  Scenario: The claim precedes the call and the outcome precedes the answer
    When a caller calls the service with key "k1" and body "a"
    Then control received OrderClaim, OrderFinish
    And the agent received the ticket of the claim

  Scenario: Without a quorum an order is refused before it is sent
    Given control has no quorum
    When a caller calls the service with key "k1" and body "a", due in 600 ms
    Then the entry answers 503 with reason "no_quorum", may have run
    And the service ran 0 times

  Scenario: A resend that can't be looked up is not reported as not run
    When a caller calls the service with key "k1" and body "a"
    Given control has no quorum
    When a caller calls the service with key "k1" and body "a", due in 600 ms
    Then the entry answers 503 with reason "no_quorum", may have run
    And the service ran 1 times

  Scenario: A refusal by the agent releases the claim
    Given the service's agent refuses with "full"
    When a caller calls the service with key "k1" and body "a"
    Then the entry answers 503 with reason "full", not run
    And every claim was released

  Scenario Outline: An order in doubt gets the state that control determines
    Given the service's agent falls silent on orders
    And control resolves orders in doubt as "<state>"
    When a caller calls the service with key "k1" and body "a", due in 500 ms
    Then the entry answers <status> with reason "<reason>", <run>
    And the service ran 1 times

    Examples:
      | state    | status | reason          | run          |
      | unknown  | 502    | unknown_outcome | may have run |
      | claimed  | 409    | in_progress     | may have run |
      | released | 503    | blocked         | not run      |

  Scenario: An order continues when its caller disconnects
    Given the service's agent takes 300 ms
    When a caller calls the service with key "k1" and body "a" and disconnects at once
    Then order "k1" reaches state finished
    And the service ran 1 times

  Scenario: A completion with an idempotency key is an order too
    When a caller asks for a streamed chat "hi" under key "k2"
    Then the caller gets the complete answer to "hi"
    When a caller asks for a streamed chat "hi" under key "k2"
    Then the caller gets the complete answer to "hi"
    And the agents got 1 request

  Scenario: A claim is not used on an agent that restarted after it
    Given the service's agent restarts when its order is claimed
    When a caller calls the service with key "k1" and body "a"
    Then the caller gets the service's answer of run 1, state "finished"
    And control received OrderClaim, OrderRelease, OrderClaim, OrderFinish
