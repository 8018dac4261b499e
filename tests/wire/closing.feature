Feature: A connection that is being closed ends

  Scenario: A failure that comes with the closing does not keep it open
    Given a connection whose serving fails as it is cancelled
    Then closing the connection ends it
