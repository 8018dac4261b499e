Feature: A draining target completes its requests and accepts no new ones

  Scenario Outline: Queued requests are handed back and running ones complete
    Given an agent beside an engine with 1 slot
    When 3 entries submit requests for 300 tokens
    And <cause>
    Then 1 answer is whole and 2 are not run because of "draining"
    And the agent stops
    And the target is deregistered from control
    And the engine ran 1 request

    Examples:
      | cause                                      |
      | the agent is asked to stop                 |
      | the fleet view marks the target as leaving |

  Scenario: A request that outlasts the drain timeout is cancelled
    Given an agent with a silence timeout of 20 s and an engine of 1 slot
    When 2 entries submit requests for 10000 tokens
    And the agent is asked to stop within 1000 ms
    Then 1 answer is broken because of "cancelled"
    And the agent stops

  Scenario: A drained target accepts no requests until it is undrained
    Given an agent beside an engine
    When an operator drains the target
    Then a request is not run because of "draining" before long
    When the operator undrains the target
    Then a request is run before long

  Scenario: The end of an answer is kept until it is acknowledged
    Given an agent beside an engine
    When an entry reads 40 tokens and loses its connection before the end
    And it resumes on a new connection
    Then the entry has the whole answer

  Scenario: A stopping agent waits until the end of an answer is acknowledged
    Given an agent beside an engine
    When an entry reads 40 tokens without acknowledging the end
    And the agent is asked to stop
    Then the agent still runs after 2 times the silence timeout
    When the entry acknowledges the end
    Then the agent stops

  Scenario Outline: A stopping agent does not wait for an entry that <gone>
    Given an agent that keeps answers for 60000 ms beside an engine
    When an entry reads 40 tokens without acknowledging the end
    And the entry <gone>
    And the agent is asked to stop
    Then the agent stops

    Examples:
      | gone                   |
      | leaves                 |
      | is killed and restarts |

  Scenario: A stopping agent waits no longer than answers can be resumed
    Given an agent that keeps answers for 300 ms beside an engine
    When an entry reads 40 tokens without acknowledging the end
    And the entry is killed
    And the agent is asked to stop
    Then the agent stops
