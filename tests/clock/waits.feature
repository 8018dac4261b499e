Feature: Waits with timeouts for a single task

  Scenario: A signal ends a wait
    Given a task that waits with a timeout of 60000 ms
    When the waiting task is signalled
    Then its wait ended by the signal

  Scenario: A wait without a signal times out
    Given a task that waits with a timeout of 10 ms
    Then its wait timed out

  Scenario: Repeated waits share one timer
    Given a task that waits with a timeout of 60000 ms
    When the waiting task is signalled and waits again 20 times
    Then 1 timer was set for all waits

  Scenario: A shorter wait after a longer one times out after its own timeout
    Given a task that waits with a timeout of 60000 ms
    When the waiting task is signalled
    And it waits again with a timeout of 10 ms
    Then its wait timed out

  Scenario: A timer left from a shorter wait does not end a longer one
    Given a task that waits with a timeout of 30 ms
    When the waiting task is signalled
    And it waits again for 60000 ms, past the end of the first wait
    Then its wait has not ended
