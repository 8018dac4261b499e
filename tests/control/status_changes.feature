Feature: The leader fetches only the changes of the other instances' status

  Scenario: A status built from changes equals the whole status
    Then whatever joins, leaves, reports or restarts, and whichever replies are lost or late, both statuses are equal

  Scenario: Processes without changes are not sent again
    Given an instance with 80 entries and 188 agents
    When its changes are fetched
    Then the reply lists 268 processes
    When all of them have another view revision and load
    And its changes are fetched
    Then the reply lists 0 processes in at most 100 bytes
    When 2 agents report other weights
    And its changes are fetched
    Then the reply lists 2 processes in at most 1000 bytes

  Scenario: The session of a replaced agent does not hide its successor
    Given two agents of one target, of which the replaced one sent the last message
    Then the report of the registered agent counts, and both incarnations are listed

  Scenario: An agent that moves back is sent again though its state is the same
    Given an instance with 1 entries and 1 agents
    When its changes are fetched
    And the agents report the same under a higher number
    And its changes are fetched
    Then the reply lists 1 processes in at most 500 bytes
