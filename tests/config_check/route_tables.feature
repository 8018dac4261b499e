Feature: A route table is checked before it is sent

  Scenario: A sound table has no findings
    Given a route table
    When the route table is checked
    Then the check finds nothing

  Scenario Outline: A table with <change> is reported
    Given a route table
    And the table has in <path> the value <value>
    When the route table is checked
    Then the check finds "<finding>"

    Examples:
      | path                        | value     | change                | finding |
      | routes.0.path_prefix        | "/a"      | an open prefix        | error: routes[0] 'one'.path_prefix: '/a' matches no path: it needs a slash at both ends |
      | routes.0.path_prefix        | "a/"      | a prefix without root | error: routes[0] 'one'.path_prefix: 'a/' matches no path: it needs a slash at both ends |
      | routes.0.path_prefix        | "/a?b/"   | a query               | error: routes[0] 'one'.path_prefix: '/a?b/' matches no path, which has no query or spaces |
      | routes.0.host               | "a.b:80"  | a port                | error: routes[0] 'one'.host: 'a.b:80' matches no request: a name without port is needed |
      | routes.1.path_prefix        | "/a/"     | the same route twice  | error: routes[1]: has the host and prefix of routes[0] |
      | routes.0.service            | "none"    | an unknown service    | error: routes[0].shares: unknown service 'none' |
      | routes.0.service            | "keep"    | a share of a store    | error: routes[0] 'one'.shares: 'keep' is a store and runs no requests |
      | routes.1.shares.1.weight    | 0         | a share of weight 0   | warning: routes[1] 'two'.shares: 'plain' gets nothing: its weight is 0 |
      | routes.1.shares.1.weight    | 0         | a service unreached   | warning: services[1] 'plain': no route reaches it |
      | routes.1.name               | "one"     | a name twice          | warning: routes: 2 are named 'one' |
      | routes.0.objective_ms       | 3000      | a late objective      | warning: routes[0] 'one'.objective_ms: 3000 is over the timeout of 2000: no answer can be late |
      | routes.0.is_resumable       | true      | a resumable call      | warning: routes[0] 'one'.is_resumable: no effect: its kind is 'idempotent' |
      | teams.0.keys                | []        | a team without keys   | warning: teams[0] 'a': nobody can use it: no keys |
      | teams                       | []        | an empty list of teams | warning: teams: empty: all requests to 2 routes that are not public are refused with 401 |
      | teams.0.burst               | 9         | a burst without rate  | warning: teams[0] 'a'.burst: no effect: without rate_per_s there is no limit |
      | teams.0.plain_tokens        | 9         | tokens without a unit | warning: teams[0] 'a'.plain_tokens: no effect: the team has no allowance of tokens |
      | limits.max_header_bytes     | 5000000   | a large head          | warning: limits.max_header_bytes: over max_body_bytes (4194304) |
      | limits.header_timeout_ms    | 16000     | slow headers          | warning: limits.header_timeout_ms: over idle_timeout_ms (15000) |
      | limits.idle_timeout_ms      | 0         | no idle time          | error: limits.idle_timeout_ms: must be above 0 |

  Scenario Outline: What differs from the table in force is told: <path>
    Given a route table
    And the table has in version the value 8
    And the table has in <path> the value <value>
    When the route table is checked against the sound one
    Then the differences are "<differences>"

    Examples:
      | path                     | value   | differences |
      | version                  | 8       | none |
      | routes.0.timeout_ms      | 2500    | changed route a.test/a/: timeout_ms 2000.0 -> 2500.0 |
      | routes.0.path_prefix     | "/c/"   | added route a.test/c/, removed route a.test/a/ |
      | routes.1.shares.0.weight | 2       | changed route a.test/b/: shares [llm:3, plain:1] -> [llm:2, plain:1] |
      | teams.0.keys             | ["x"]   | changed team a: keys 1 added, 1 removed |
      | limits.max_body_bytes    | 100000  | changed limits: max_body_bytes 4194304 -> 100000 |

  # Nothing was said of a table that opens all routes.
  Scenario: What a table without a list of teams does to callers is told
    Given a route table
    And the table has in version the value 8
    And the table has no teams
    When the route table is checked against the sound one
    Then the check finds "warning: teams: missing: 2 routes that are not public are open to everybody, without a key"
    And the differences are "removed team a, changed teams: needs_key True -> False"

  Scenario: What the isolation of a team costs the others is told
    Given a route table
    And the table has in version the value 8
    And the table has in teams.0.is_isolated the value true
    When the route table is checked against the sound one
    Then the check finds "warning: teams[0] 'a'.is_isolated: the team shared its cache entries: all teams that share begin with empty caches"

  Scenario: A change under the version in force is an error
    Given a route table
    And the table has in routes.0.timeout_ms the value 2500
    When the route table is checked against the sound one
    Then the check finds "error: version: not above 7, which is in force"
