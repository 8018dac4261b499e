Feature: Closing a connection ends its task

  Scenario: An error during cancellation does not keep the task running
    Given a connection whose session task raises an error when it is cancelled
    Then closing the connection ends its task
