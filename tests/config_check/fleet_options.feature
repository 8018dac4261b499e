Feature: A seed file is checked before it is applied

  Scenario Outline: <what> in a seed file is reported
    Given a seed that has <entries>
    When the seed file is checked against the fleet in force
    Then the check finds "<finding>"

    Examples:
      | what             | entries                                   | finding |
      | No such target   | target:t9 kv.import=false                 | warning: exception target:t9 kv.import: no target is in this scope |
      | No such model    | model:m9 kv.import=false                  | warning: exception model:m9 kv.import: no target is in this scope |
      | No such team     | team:x limits.team_share=2                | warning: exception team:x limits.team_share: there is no such team |
      | A hidden one     | model:m2 kv.import=false                  | warning: exception model:m2 kv.import: narrower exceptions apply to all of its targets |
      | The default      | target:t1 limits.max_running=8            | warning: exception target:t1 limits.max_running: the default is 8 already |
      | Back to default  | target:t3 kv.import=true                  | warning: exception target:t3 kv.import: the default is True already |
      | One twice        | target:t1 limits.max_running=4 target:t1 limits.max_running=5 | error: exception target:t1 limits.max_running: occurs twice |
      | A contradiction  | orders.retention_ms=1000                  | warning: default orders.retention_ms: below deadline_ms.order: outcomes are forgotten before their deadline |
      | A drained fleet  | target.drained=true                       | warning: default target.drained: all targets are drained but for exceptions |

  Scenario Outline: <entries> is no finding
    Given a seed that has <entries>
    When the seed file is checked against the fleet in force
    Then the check finds nothing
    And the differences are "<differences>"

    Examples:
      | entries                         | differences |
      | model:m1 limits.max_running=4   | added exception model:m1 limits.max_running = 4 |
      | model:m1 limits.max_queued=10   | changed exception model:m1 limits.max_queued: 9 -> 10 |
      | target:t1 limits.max_queued=64  | added exception target:t1 limits.max_queued = 64 |
      | limits.max_running=9            | changed default limits.max_running: 8 -> 9 |
      | limits.max_running=8            | none |

  Scenario Outline: The command ends with <code> for <file>
    When the command checks <file>
    Then it ends with <code>

    Examples:
      | file                              | code |
      | a sound table                     | 0    |
      | a table with a warning            | 0    |
      | a table with a warning, strictly  | 1    |
      | a table with an error             | 1    |
      | a table that is no table          | 1    |
      | the example of a seed             | 0    |
      | a file that does not exist        | 2    |
      | a table, with nobody to ask       | 4    |

  Scenario: The command asks a control instance for the table in force
    When the command checks a table against a control instance
    Then it prints the difference and ends with 0
