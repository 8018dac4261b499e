Feature: An agent runs requests at its target

  Scenario: A streamed answer comes whole
    Given an agent beside an engine
    When an entry submits request "r1" for 20 tokens
    Then the entry has the whole answer
    And the engine ran 1 request
