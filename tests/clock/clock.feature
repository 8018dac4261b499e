Feature: The clock in milliseconds

  Scenario: A manual clock only moves when it is advanced
    Given a manual clock at 100 ms
    When the clock advances by 50 ms
    Then the clock reads 150 ms
