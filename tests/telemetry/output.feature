Feature: Logging never blocks the process

  @promise.bounded_logs
  Scenario: A reader that stops reading loses lines, and the process goes on
    Given an output whose reader does not read
    When 20000 lines of 200 bytes are written
    Then writing them took less than 5 s
    And lines were dropped

  Scenario: Dropped lines are told of once the reader reads again
    Given an output whose reader does not read
    When 20000 lines of 200 bytes are written
    And the reader resumes reading and a line is written
    Then the reader gets the number of dropped lines

  @promise.bounded_logs
  Scenario: A burst of lines is bounded
    Given an output that is read at once
    When 20000 lines of 200 bytes are written
    Then the reader got at most 524288 bytes and at least 500000

  @promise.bounded_logs
  Scenario: Lines that go on coming are bounded by the second
    Given an output that is read at once
    When 40000 lines of 200 bytes are written over 4 s
    Then the reader got at most 1600000 bytes and at least 1500000

  @promise.second_sends
  Scenario: Second sends are bounded over any window
    Given a window of 10 s that allows a fifth and 10 among 5 processes
    When 100 requests arrive over 20 s and each asks for a second send
    Then any 10 s hold at most 12 second sends
