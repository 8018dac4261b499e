Feature: Logs and counters

  Scenario Outline: The value <value> is logged as <text>
    Then the value "<value>" is logged as "<text>"

    Examples:
      | value     | text          |
      | plain-1.2 | plain-1.2     |
      | two words | "two words"   |
      | a=b       | "a=b"         |
      | a\nb      | "a\\nb"       |
      | say "x"   | "say \\"x\\"" |

  Scenario: Any event is logged as one line that can be parsed back
    Then any event is logged as one line that can be parsed back

  Scenario: Each line has time, level, role, instance and part
    When an event with request "r1" is logged by the entry "e1"
    Then one line is logged with these keys
      | key      | value |
      | time     |       |
      | level    | INFO  |
      | role     | entry |
      | instance | e1    |
      | part     | test  |
      | event    | asked |
      | request  | r1    |

  Scenario: The number of counters and gauges is limited
    When 3000 different counters and gauges are set
    Then there are 2000 counters and an overflow counter for the rest
    And there are at most 2000 gauges

  Scenario: Refusals and retries are counted by reason and sent to statsd
    Given a statsd server
    When a refusal for "full" and a retry for "silent" are counted
    Then the statsd server receives "x.refusal.full:1|c"
    And the statsd server receives "x.retry.silent:1|c"

  Scenario: A repeated warning is rate limited
    When a warning repeats 500 times within one second and once after it
    Then 2 lines are logged, the second with 499 suppressed warnings

  Scenario: A warning is logged once for each cause and counted after that
    When a warning occurs 1500 times for one cause and once for 300 others
    Then its counts of that cause are logged as 1, 10, 100, 1000
    And the other causes cost at most 260 lines
