Feature: Whole answers to the right caller

  Scenario Outline: Repeated and crossed frames change nothing
    Given an entry among fakes
    And agents whose fault it is to <fault>
    When a caller asks for a <form> chat "hi"
    Then the caller gets the whole answer to "hi"

    Examples:
      | fault                        | form     |
      | send each frame twice        | streamed |
      | send each frame twice        | whole    |
      | send frames of another call  | streamed |
      | lose one frame               | streamed |
      | lose one frame               | whole    |

  Scenario: A request goes where an agent tells that its prompt is held
    Given an entry among fakes
    And only the second agent tells that it holds prompts
    When the caller asks for 10 different chats
    Then the second agent ran 10 requests

  Scenario: Agents that do not tell what they hold still get requests
    Given an entry among fakes
    When the caller asks for 3 different chats
    Then the agents ran 3 requests

  Scenario Outline: Requests state how far their team is over its fair share
    Given an entry among fakes
    And agents that tell that <use> of their targets is asked for
    When the caller asks for 3 different chats
    Then the entry stated that the team is <place> its fair share

    Examples:
      | use | place  |
      | 0.7 | within |
      | 1.6 | over   |

  Scenario: Many callers at once each get their own answer
    Given an entry among fakes
    And agents whose fault it is to send frames of another call
    Then 60 callers at once each get their own whole answer

  Scenario Outline: A deterministic answer is continued on another engine
    Given an entry among fakes
    And agent "t0" breaks off after 8 chunks
    And agent "t1" breaks off after 16 chunks
    And another agent "t2"
    When a caller asks for a <form> chat "hi" with a seed
    Then the caller gets the whole answer to "hi"
    And no agent was asked for a chunk that the caller had

    Examples:
      | form     |
      | streamed |
      | whole    |

  Scenario: A streamed answer that is not deterministic ends with an error
    Given an entry among fakes
    And agents that break off after 8 chunks
    When a caller asks for a streamed chat "hi"
    Then the caller gets the first 8 chunks and an error "target_failed", may have run

  Scenario: A whole answer that is not deterministic is run again elsewhere
    Given an entry among fakes
    And agent "t0" breaks off after 8 chunks
    And agent "t1" breaks off after 8 chunks
    And another agent "t2"
    When a caller asks for a whole chat "hi"
    Then the caller gets the whole answer to "hi"

  Scenario: An answer is never continued with other weights
    Given an entry among fakes
    And agents that break off after 8 chunks and answer with different weights
    When a caller asks for a streamed chat "hi" with a seed
    Then the caller gets the first 8 chunks and an error "target_failed", may have run
    And a retry was counted as "wrong_weights"

  Scenario: An answer that claims more chunks than came does not look whole
    Given an entry among fakes
    And agents whose fault it is to announce more chunks than they send
    When a caller asks for a streamed chat "hi"
    Then the caller gets the first 40 chunks and an error "silent", may have run

  Scenario: A refusal by every agent is a true refusal
    Given an entry among fakes
    And agents that refuse with "full"
    When a caller asks for a whole chat "hi"
    Then the entry answers 503 with reason "full", not run
    And the answer says to come back in 700 ms

  Scenario: A refusal by one agent sends the request to another
    Given an entry among fakes
    And agent "t0" refuses with "draining"
    When a caller asks for a whole chat "hi"
    Then the caller gets the whole answer to "hi"

  Scenario: A failure after a refusal is not called not run
    Given an entry among fakes
    And agent "t0" refuses with "full"
    And agent "t1" breaks off after 0 chunks
    When a caller asks for a streamed chat "hi"
    Then the error may have run

  Scenario: An answer that misses its deadline ends with an error
    Given an entry among fakes
    And agents that fall silent after 8 chunks
    When a caller asks for a streamed chat "hi" due in 400 ms
    Then the caller gets the first 8 chunks and an error "deadline", may have run
    And an agent was told to cancel

  Scenario: A stopped agent's request goes to another one
    Given an entry among fakes
    And agents that fall silent after 8 chunks
    When a caller asks for a streamed chat "hi" with a seed and its agent stops
    Then the caller gets the whole answer to "hi"

  Scenario: Requests keep away from an agent whose connection is lost
    Given an entry among fakes
    And agent "t0" has stopped
    When the caller asks for 12 different chats
    Then all chats came whole without a retry

  Scenario: Tool calls that come in parts make up a whole answer
    Then an answer that calls a tool in 3 parts is put together whole

  Scenario Outline: A part that can't be put together is an error
    Then an answer with <part> in a choice is an error, not a shorter answer

    Examples:
      | part                          |
      | {"delta":{"audio":{"id":"1"}}} |
      | {"text":"a","logprobs":{}}    |

  Scenario: A request that its agent does not accept moves to another one
    Given an entry among fakes
    And agent "t0" accepts nothing
    When the caller asks for 12 different chats
    Then all chats came whole
    And a retry was counted as "silent"
    And agent "t0" was told to cancel each request
