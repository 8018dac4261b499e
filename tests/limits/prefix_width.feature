Feature: Hot prefixes are widened fast and narrowed slowly

  Scenario: A prefix with little load keeps one target
    Given a prefix width controller for at most 4 targets
    When a prefix causes 100 ms of work every 1000 ms for 30 s
    Then its width is 1

  Scenario: A prefix that overloads one target is widened within seconds
    Given a prefix width controller for at most 4 targets
    When a prefix causes 1500 ms of work every 1000 ms for 8 s
    Then its width is at least 2

  Scenario: The width does not exceed the configured maximum
    Given a prefix width controller for at most 4 targets
    When a prefix causes 9000 ms of work every 1000 ms for 30 s
    Then its width is 4

  Scenario: A prefix whose load drops is narrowed after a delay
    Given a prefix width controller for at most 4 targets
    When a prefix causes 9000 ms of work every 1000 ms for 30 s
    And a prefix causes 10 ms of work every 1000 ms for 5 s
    Then its width is 4
    When a prefix causes 10 ms of work every 1000 ms for 120 s
    Then its width is 1

  Scenario: A steady load between two widths does not cause oscillation
    Given a prefix width controller for at most 4 targets
    When a prefix spread over its width causes 1000 ms of work every second
    Then its width changes at most 2 times in 300 s

  Scenario: The number of tracked prefixes is bounded
    Given a prefix width controller for at most 4 targets
    When 2000 prefixes cause work
    Then the controller tracks 512 of them

  Scenario: A prefix that is hot from the start is widened within a second
    Given a prefix width controller for at most 4 targets
    When a prefix causes 100 ms of work every 50 ms for 1 s
    Then its width is at least 2

  Scenario: The utilization by a prefix counts work at this target and decays
    Given a prefix width controller for at most 4 targets
    When a prefix causes 50 ms of work every 100 ms for 30 s
    Then it uses 40 to 60 percent of the target
    When 20000 ms pass without work for the prefix
    Then it uses 0 to 1 percent of the target
