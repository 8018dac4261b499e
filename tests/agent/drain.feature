Feature: A target that leaves cuts no request and takes no new one

  Scenario Outline: Queued requests are handed back and running ones end
    Given an agent beside an engine with 1 slot
    When 3 entries submit requests for 300 tokens
    And <cause>
    Then 1 answer is whole and 2 are not run because of "draining"
    And the agent ends
    And control was told that the target leaves
    And the engine ran 1 request

    Examples:
      | cause                                 |
      | the agent is asked to end             |
      | the view marks the target as leaving  |

  Scenario: A request that outlasts the drain is told so
    Given an agent beside an engine with 1 slot
    When 2 entries submit requests for 1500 tokens
    And the agent is asked to end within 1000 ms
    Then 1 answer is broken because of "cancelled"
    And the agent ends

  Scenario: A drained target takes no request until it is let back
    Given an agent beside an engine
    When an operator drains the target
    Then a request is not run because of "draining" before long
    When the operator lets the target back
    Then a request is run before long
