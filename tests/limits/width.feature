Feature: Hot prefixes widen fast and shrink slowly

  Scenario: A cool prefix keeps one target
    Given a width meter for at most 4 targets
    When a prefix brings 100 ms of work each 1000 ms for 30 s
    Then its width is 1

  Scenario: A prefix too hot for one target widens within seconds
    Given a width meter for at most 4 targets
    When a prefix brings 1500 ms of work each 1000 ms for 8 s
    Then its width is at least 2

  Scenario: The width stays within the operators' limit
    Given a width meter for at most 4 targets
    When a prefix brings 9000 ms of work each 1000 ms for 30 s
    Then its width is 4

  Scenario: A prefix that cooled shrinks, but not at once
    Given a width meter for at most 4 targets
    When a prefix brings 9000 ms of work each 1000 ms for 30 s
    And a prefix brings 10 ms of work each 1000 ms for 5 s
    Then its width is 4
    When a prefix brings 10 ms of work each 1000 ms for 120 s
    Then its width is 1

  Scenario: A steady load between two widths does not swing
    Given a width meter for at most 4 targets
    When a prefix spread over its width brings 1000 ms of work each second
    Then its width changes at most 2 times in 300 s

  Scenario: Only so many prefixes are remembered
    Given a width meter for at most 4 targets
    When 2000 prefixes bring work
    Then the meter remembers 512 of them

  Scenario: A prefix that turned hot just now widens within its first second
    Given a width meter for at most 4 targets
    When a prefix brings 100 ms of work each 50 ms for 1 s
    Then its width is at least 2

  Scenario: The use by a prefix is what it brings to this target, and fades
    Given a width meter for at most 4 targets
    When a prefix brings 50 ms of work each 100 ms for 30 s
    Then it uses 40 to 60 percent of the target
    When 20000 ms pass without work for the prefix
    Then it uses 0 to 1 percent of the target
