Feature: Target orders are carried out once, and never after newer ones

  Scenario: New weights are loaded, and requests for them are served
    Given an agent beside an engine
    When control orders weights "2" with fence 5
    Then the target order is done
    When an entry submits request "r1" for 3 tokens of weights "2"
    Then the entry has the whole answer
    When an entry submits request "r2" for 3 tokens of weights "1"
    Then it is not run because of "wrong_weights"

  Scenario: Blocks of old weights do not count as cached after a load
    Given an agent beside an engine
    When teams "a" and "b" submit prompts that share 1 of 2 levels
    Then the agent reports 2 cached pieces of the prompt of team "a"
    When control orders weights "2" with fence 5
    Then the agent reports 0 cached pieces of the prompt of team "a"

  Scenario: An older order is refused
    Given an agent beside an engine
    When control orders weights "3" with fence 6
    And control orders weights "2" with fence 5
    Then the target order is refused by fence 6
    When an entry submits request "r1" for 3 tokens of weights "3"
    Then the entry has the whole answer

  Scenario: Requests for weights that are being loaded get a retry time
    Given an agent beside an engine
    When weights "2" are being loaded
    And an entry submits request "r1" for 3 tokens of weights "2"
    Then it is not run because of "wrong_weights"
    And it has a retry time

  Scenario: An order lost on a silent connection is reported as not done
    Given an agent beside an engine whose connections can go silent
    When weights "2" with fence 5 are ordered and the order is lost
    Then the target order is refused by fence 5
    When control orders weights "2" with fence 5
    Then the target order is refused by fence 5
    And the engine received orders with fences ""
    When control orders weights "2" with fence 6
    Then the target order is done
    And the engine received orders with fences "6"

  Scenario: An order whose reply is lost is reported as done
    Given an agent beside an engine whose connections can go silent
    When weights "2" with fence 5 are ordered and the reply is lost
    Then the target order is done
    When control orders weights "2" with fence 5
    Then the target order is done
    And the engine received orders with fences "5"
    When control orders weights "3" with fence 6
    Then the target order is done

  Scenario: A long load is awaited, and a repeated order joins it
    Given an agent beside an engine whose weights take 2500 ms to load
    When weights "2" with fence 5 are ordered twice at once
    Then the target order is done
    And the engine received orders with fences "5"

  Scenario: Weights that two leaders order are loaded once
    Given an agent beside an engine whose weights take 500 ms to load
    When weights "2" are ordered with fences 5 and 6
    Then both target orders are done
    And the engine received orders with fences "5"
    When control orders weights "3" with fence 7
    Then the target order is done
    And the engine received orders with fences "5 7"
