Feature: Disconnected or stalled callers, limits and draining of an entry

  Scenario Outline: A request is cancelled when its caller disconnects
    Given an entry with fake peers
    And agents that take 20 ms per frame
    When a caller asks for a <form> chat "hi" and disconnects after the start
    Then an agent received a cancellation
    And the entry has no open request

    Examples:
      | form     |
      | streamed |
      | whole    |

  Scenario: A caller that reads nothing uses bounded memory
    Given an entry with fake peers and a stall timeout of 200 ms
    And agents with the fault: answer far more than a socket holds
    When a caller asks for a streamed chat "hi" and reads nothing
    Then an agent received a cancellation
    And the entry has no open request

  Scenario: Requests beyond the entry's limit are refused at once
    Given an entry with fake peers and room for 3 requests
    And agents that fall silent after 0 chunks
    When 5 concurrent callers ask for chats due in 500 ms
    Then 2 of them are refused with "too_many_open", not run

  Scenario: A team's requests beyond its limit are refused at once
    Given an entry with fake peers
    And the option "limits.team_open_requests" is 2 for team "north"
    And agents that fall silent after 0 chunks
    When 5 concurrent callers ask for chats due in 500 ms
    Then 3 of them are refused with "team_limit", not run

  Scenario: An entry drains: unready first, then refusals, then open requests end
    Given an entry with fake peers and a balancer delay of 300 ms
    And agents that take 40 ms per frame
    When a caller asks for a streamed chat "hi" while the entry drains
    Then the entry was unready while it still accepted requests
    And a later request was refused with "draining", not run
    And the answer to "hi" that was running was completed

  Scenario: An entry that restarts without control serves from its view file
    Given an entry with fake peers and a state folder
    When control stops and the entry restarts
    And a caller asks for a whole chat "hi"
    Then the caller gets the complete answer to "hi"

  Scenario: An entry without any settings is unready and refuses
    Given an entry with fake peers
    When control stops and the entry restarts
    And a caller gets "/health/ready"
    Then the entry answers 503
    When a caller asks for a whole chat "hi"
    Then the entry answers 503 with reason "stale_view", not run
