Feature: The replay buffer of an answer is bounded

  Scenario: Chunks keep their numbers in any sequence of operations
    Then any use of a replay buffer returns each chunk under its own number

  Scenario: Too many unacknowledged chunks leave no room for more
    Given a replay buffer
    When 1024 chunks of 10 bytes are added
    Then the buffer has no room
    When chunks before 1 are acknowledged
    Then the buffer has room

  Scenario: Acknowledged chunks are dropped beyond a limit
    Given a replay buffer
    When 100 chunks of 10000 bytes are added
    And chunks before 100 are acknowledged
    Then the buffer holds at most 65536 bytes
    And chunk 0 is no longer in the buffer
