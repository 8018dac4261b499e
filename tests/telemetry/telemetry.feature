Feature: Logs and counters

  Scenario Outline: A logged value <value> stands as <text>
    Then the logged value "<value>" stands as "<text>"

    Examples:
      | value     | text          |
      | plain-1.2 | plain-1.2     |
      | two words | "two words"   |
      | a=b       | "a=b"         |
      | a\nb      | "a\\nb"       |
      | say "x"   | "say \\"x\\"" |

  Scenario: An event is one line that reads back, whatever its values
    Then any logged event is one line whose pairs read back

  Scenario: A line names time, level, role, instance and part
    When an event with request "r1" is logged by the entry "e1"
    Then the log holds one line with these keys first
      | key      | value |
      | time     |       |
      | level    | INFO  |
      | role     | entry |
      | instance | e1    |
      | part     | test  |
      | event    | asked |
      | request  | r1    |

  Scenario: Counters taken from outside can't fill the memory
    When 3000 different counters and gauges are set
    Then there are 2000 counters and an overflow that holds the rest
    And there are at most 2000 gauges

  Scenario: Refusals and retries are counted by reason and sent by statsd
    Given a statsd server
    When a refusal for "full" and a retry for "silent" are counted
    Then the statsd server receives "x.refusal.full:1|c"
    And the statsd server receives "x.retry.silent:1|c"

  Scenario: A warning that repeats does not fill the log
    When a warning repeats 500 times within one second and once after it
    Then the log holds 2 lines and the second one counts 499 unlogged
