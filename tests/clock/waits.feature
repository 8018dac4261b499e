Feature: Bounded waits of one task

  Scenario: A signal ends a wait
    Given a waiting task whose waits take 60000 ms at most
    When it is given a signal
    Then its wait ended in time

  Scenario: A wait without a signal ends
    Given a waiting task whose waits take 10 ms at most
    Then its wait ended without a signal

  Scenario: Waits of a stream share one timer
    Given a waiting task whose waits take 60000 ms at most
    When it is given a signal and waits again 20 times
    Then 1 timer was set for it

  Scenario: A shorter wait after a longer one ends at its own time
    Given a waiting task whose waits take 60000 ms at most
    When it is given a signal
    And it waits again for 10 ms
    Then its wait ended without a signal

  Scenario: A timer left from a shorter wait does not end a longer one
    Given a waiting task whose waits take 30 ms at most
    When it is given a signal
    And it waits again for 60000 ms over the end of the first
    Then its wait has not ended
