Feature: A stream's tail is kept within bounds

  Scenario: Whatever is added, acknowledged and read again stays in order
    Then any use of a tail gives each chunk under its own number

  Scenario: Unacknowledged chunks leave no room for more
    Given a stream tail
    When 1024 chunks of 10 bytes are added
    Then the tail has no room
    When chunks before 1 are acknowledged
    Then the tail has room

  Scenario: Acknowledged chunks are let go beyond a bound
    Given a stream tail
    When 100 chunks of 10000 bytes are added
    And chunks before 100 are acknowledged
    Then the tail holds at most 65536 bytes
    And chunk 0 is no longer kept
