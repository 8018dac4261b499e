Feature: The engine stand-in over HTTP

  Scenario Outline: A whole and a streamed answer are the expected text
    Given a stand-in engine
    When the stand-in engine is asked for 5 tokens <how> as "r1"
    Then the stand-in engine's answer is tokens 0 to 5

    Examples:
      | how      |
      | whole    |
      | streamed |

  Scenario: A second engine continues an answer
    Given a stand-in engine
    When the stand-in engine is asked to continue from token 3 of 5
    Then the stand-in engine's answer is tokens 3 to 5

  Scenario: A finished stream is resumed from a position
    Given a stand-in engine
    When the stand-in engine is asked for 5 tokens streamed as "r1"
    And the stand-in engine's stream "r1" is resumed from 2
    Then the stand-in engine's answer is tokens 2 to 5

  Scenario: An answer that nobody reads is given up after the grace time
    Given a stand-in engine with a grace of 50 ms
    When a caller of the stand-in engine leaves stream "r1" after its start
    Then the stand-in engine records "r1" as "cancelled"

  Scenario: An answer whose reader comes back in time goes on
    Given a stand-in engine with a grace of 60000 ms
    When a caller of the stand-in engine leaves stream "r1" after its start
    And the stand-in engine's stream "r1" is resumed from 0
    Then the stand-in engine's answer is tokens 0 to 200
    And the stand-in engine records "r1" as "finished"

  Scenario: A cancelled stream does not look whole
    Given a stand-in engine
    When a stand-in engine's stream "r1" is cancelled while it is read
    Then the stand-in engine's answer has no final event
    And the stand-in engine records "r1" as "cancelled"

  Scenario: The same request id runs twice
    Given a stand-in engine
    When the stand-in engine is asked for 2 tokens whole as "r1"
    And the stand-in engine is asked for 2 tokens whole as "r1"
    Then the stand-in engine has recorded 2 runs

  Scenario: Prompts are processed by priority, then arrival
    Given stand-in jobs "low:5 high:1 middle:3 later:1"
    When the stand-in batch works with 1 slot
    Then the stand-in jobs ran in the order "high later middle low"

  Scenario Outline: An old fencing number
    Given a stand-in engine <checking>
    When the stand-in engine is ordered to load weights "2" with fence 5
    And the stand-in engine is ordered to load weights "3" with fence 4
    Then the stand-in engine answered the order with <status>
    And the stand-in engine uses weights "<version>"

    Examples:
      | checking                        | status | version |
      | that checks fencing numbers     | 409    | 2       |
      | that ignores fencing numbers    | 200    | 3       |

  Scenario: A stalled engine answers nothing until it is released
    Given a stand-in engine
    When the stand-in engine stalls and is asked as "r1"
    Then the stand-in engine has recorded 0 runs
    When the stand-in engine is released
    Then the stand-in engine's answer is tokens 0 to 2

  Scenario: A kept block moves from one engine to another
    Given two stand-in engines with a store of kept blocks
    When the first stand-in engine's blocks are exported
    Then the second stand-in engine imports them for weights "1"
    And the second stand-in engine imports nothing for weights "9"

  Scenario: Cache pieces cut by the caller must make up the prompt
    Given a stand-in engine
    When the stand-in engine is asked with pieces of another prompt
    Then the stand-in engine refuses with 400
