Feature: What is known of a peer's clock

  Scenario: A reading that comes late doesn't replace a better one
    Given the clock of a peer that is 5000 ms ahead
    When the peer's time is read 2 ms late at 1000 ms
    And the peer's time is read 300 ms late at 1400 ms
    Then the peer's time is known 2.2 ms too early at 1400 ms

  Scenario: A better reading replaces one that came late
    Given the clock of a peer that is 5000 ms ahead
    When the peer's time is read 300 ms late at 1000 ms
    And the peer's time is read 3 ms late at 1100 ms
    Then the peer's time is known 3 ms too early at 1100 ms

  Scenario: An old reading counts for less, as clocks drift
    Given the clock of a peer that is 5000 ms ahead
    When the peer's time is read 2 ms late at 1000 ms
    And the peer's time is read 30 ms late at 101000 ms
    Then the peer's time is known 30 ms too early at 101000 ms

  Scenario: Another incarnation may have another clock
    Given the clock of a peer that is 5000 ms ahead
    When the peer's time is read 2 ms late at 1000 ms
    And another incarnation's time is read 40 ms late at 1100 ms
    Then the peer's time is known 40 ms too early at 1100 ms
