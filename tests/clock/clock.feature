Feature: One clock in milliseconds

  Scenario: A manual clock moves only when told to
    Given a manual clock at 100 ms
    When the clock advances by 50 ms
    Then the clock reads 150 ms
