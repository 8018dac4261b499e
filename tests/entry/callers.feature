Feature: Callers that leave, stall or come in crowds, and leaving oneself

  Scenario Outline: A caller that leaves cancels its work
    Given an entry among fakes
    And agents that take 20 ms per frame
    When a caller asks for a <form> chat "hi" and leaves after the start
    Then an agent was told to cancel
    And the entry has no open request

    Examples:
      | form     |
      | streamed |
      | whole    |

  Scenario: A caller that reads nothing costs bounded memory
    Given an entry among fakes that cuts callers off after 200 ms
    And agents whose fault it is to answer far more than a socket holds
    When a caller asks for a streamed chat "hi" and reads nothing
    Then an agent was told to cancel
    And the entry has no open request

  Scenario: Requests beyond the entry's limit are refused at once
    Given an entry among fakes with room for 3 requests
    And agents that fall silent after 0 chunks
    When 5 callers at once ask for chats due in 500 ms
    Then 2 of them are refused with "too_many_open", not run

  Scenario: A team's requests beyond its limit are refused at once
    Given an entry among fakes
    And the option "limits.team_open_requests" is 2 for team "north"
    And agents that fall silent after 0 chunks
    When 5 callers at once ask for chats due in 500 ms
    Then 3 of them are refused with "team_limit", not run

  Scenario: A leaving entry is unready first, then refuses, then ends what runs
    Given an entry among fakes that serves 300 ms on when it leaves
    And agents that take 40 ms per frame
    When a caller asks for a streamed chat "hi" while the entry drains
    Then the entry was unready while it still took requests
    And a request after that was refused with "draining", not run
    And the running answer to "hi" came whole

  Scenario: An entry cut off from control serves on from its file
    Given an entry among fakes with a state folder
    When control stops and the entry restarts
    And a caller asks for a whole chat "hi"
    Then the caller gets the whole answer to "hi"

  Scenario: An entry without any settings is unready and refuses
    Given an entry among fakes
    When control stops and the entry restarts
    And a caller gets "/health/ready"
    Then the entry answers 503
    When a caller asks for a whole chat "hi"
    Then the entry answers 503 with reason "stale_view", not run
