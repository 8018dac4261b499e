Feature: Target orders load weights and roles, never older ones

  Scenario: New weights are loaded and promised ones are served
    Given an agent beside an engine
    When control orders weights "2" with fence 5
    Then the target order is done
    When an entry submits request "r1" for 3 tokens of weights "2"
    Then the entry has the whole answer
    When an entry submits request "r2" for 3 tokens of weights "1"
    Then it is not run because of "wrong_weights"

  Scenario: Nothing of older weights counts as held once others are loaded
    Given an agent beside an engine
    When teams "a" and "b" submit prompts that share 1 of 2 levels
    Then the agent tells of 2 held pieces of the prompt of team "a"
    When control orders weights "2" with fence 5
    Then the agent tells of 0 held pieces of the prompt of team "a"

  Scenario: An older order is refused
    Given an agent beside an engine
    When control orders weights "3" with fence 6
    And control orders weights "2" with fence 5
    Then the target order is refused by fence 6
    When an entry submits request "r1" for 3 tokens of weights "3"
    Then the entry has the whole answer

  Scenario: Requests for weights that are being loaded come back in time
    Given an agent beside an engine
    When weights "2" are being loaded
    And an entry submits request "r1" for 3 tokens of weights "2"
    Then it is not run because of "wrong_weights"
    And it is told when to come back

  Scenario: An order that a silent connection swallowed is told as not done
    Given an agent beside an engine whose connections can go silent
    When weights "2" with fence 5 are ordered and lost on the way
    Then the target order is refused by fence 5
    When control orders weights "2" with fence 5
    Then the target order is refused by fence 5
    And the engine was given orders with fences ""
    When control orders weights "2" with fence 6
    Then the target order is done
    And the engine was given orders with fences "6"

  Scenario: An order whose answer was swallowed is seen to be done
    Given an agent beside an engine whose connections can go silent
    When weights "2" with fence 5 are ordered, the answer lost
    Then the target order is done
    When control orders weights "2" with fence 5
    Then the target order is done
    And the engine was given orders with fences "5"
    When control orders weights "3" with fence 6
    Then the target order is done

  Scenario: A long load is waited for, and taken up again by its number
    Given an agent beside an engine whose weights take 2500 ms to load
    When weights "2" with fence 5 are ordered twice at once
    Then the target order is done
    And the engine was given orders with fences "5"

  Scenario: Two leaders that order the same weights have them loaded once
    Given an agent beside an engine whose weights take 500 ms to load
    When weights "2" are ordered with fences 5 and 6
    Then both target orders are done
    And the engine was given orders with fences "5"
    When control orders weights "3" with fence 7
    Then the target order is done
    And the engine was given orders with fences "5 7"
