Feature: The leader is told only what changed at the other instances

  Scenario: A follower of changes sees what one told all sees
    Then whatever joins, leaves, reports or restarts, and whichever answers are lost or late, both see the same

  Scenario: What did not change is not told again
    Given an instance with 80 entries and 188 agents
    When its status is followed
    Then the answer tells of 268 processes
    When all of them have another view revision and load
    And its status is followed
    Then the answer tells of 0 processes in at most 100 bytes
    When 2 agents report other weights
    And its status is followed
    Then the answer tells of 2 processes in at most 1000 bytes

  Scenario: An agent that another one replaced does not hide it
    Given two agents of one target, of which the one replaced was heard later
    Then the report of the one registered counts, and both are heard

  Scenario: An agent that comes home is told of though its state is as before
    Given an instance with 1 entries and 1 agents
    When its status is followed
    And the agents report the same under a higher number
    And its status is followed
    Then the answer tells of 1 processes in at most 500 bytes
