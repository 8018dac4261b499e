Feature: Estimate of a peer's clock

  Scenario: A late reading doesn't replace a more precise one
    Given the clock of a peer that is 5000 ms ahead
    When a timestamp of the peer is read 2 ms late at 1000 ms
    And a timestamp of the peer is read 300 ms late at 1400 ms
    Then the estimate of the peer's time is 2.2 ms too early at 1400 ms

  Scenario: A more precise reading replaces a late one
    Given the clock of a peer that is 5000 ms ahead
    When a timestamp of the peer is read 300 ms late at 1000 ms
    And a timestamp of the peer is read 3 ms late at 1100 ms
    Then the estimate of the peer's time is 3 ms too early at 1100 ms

  Scenario: An old reading loses precision, as clocks drift
    Given the clock of a peer that is 5000 ms ahead
    When a timestamp of the peer is read 2 ms late at 1000 ms
    And a timestamp of the peer is read 30 ms late at 101000 ms
    Then the estimate of the peer's time is 30 ms too early at 101000 ms

  Scenario: Another incarnation may have another clock
    Given the clock of a peer that is 5000 ms ahead
    When a timestamp of the peer is read 2 ms late at 1000 ms
    And a timestamp of another incarnation is read 40 ms late at 1100 ms
    Then the estimate of the peer's time is 40 ms too early at 1100 ms
