Feature: Translation between the platform's formats and lycheering's types

  Scenario: The headers of a request are parsed
    When a caller's headers are read
    Then the request's id, timeout, key, model, parts and token counts are parsed

  Scenario Outline: A missing or malformed header is named in the error
    When a caller's header "<name>" is "<value>"
    Then parsing fails with an error that names "<name>"

    Examples:
      | name          | value     |
      | x-attempt-id  |           |
      | x-deadline-ms | soon      |
      | x-deadline-ms | -1        |
      | x-deadline-ms | inf       |
      | x-token-usage | many      |
      | x-prefix-hash | abc       |
      | x-prefix-hash | abc:many  |

  Scenario Outline: The meaning of an answer for its request
    When a target answers <status> with the headers "<headers>"
    Then the answer means <meaning>

    Examples:
      | status | headers                              | meaning       |
      | 200    | x-attempt-id: r1                     | ran           |
      | 500    | x-attempt-id: r1                     | ran           |
      | 503    | x-attempt-id: r1                     | ran           |
      | 503    | x-attempt-id: r1, x-not-executed: 1  | not_run       |
      | 429    | x-attempt-id: r1, x-not-executed: 1  | not_run       |
      | 421    | x-attempt-id: r1                     | other_target  |
      | 200    | x-attempt-id: r2                     | other_request |

  Scenario Outline: The rate limit that a target names
    When a target answers 200 with the headers "x-attempt-id: r1, server-limit: <value>"
    Then the answer names the limit <limit>

    Examples:
      | value   | limit     |
      | 3.2     | 3.2       |
      | 12      | 12.0      |
      | 0       | 0.0       |
      | -1      | malformed |
      | nan     | malformed |
      | 1e9     | malformed |
      | inf     | malformed |
      | 1_0     | malformed |
      | many    | malformed |
      | 9999999999999999999999 | malformed |

  Scenario: Headers that concern one connection are not forwarded
    When a caller's headers with "Connection: close, X-Once" are forwarded
    Then neither "connection" nor "x-once" is forwarded

  Scenario: A document is parsed as a route table
    When the platform's document is read
    Then the table has its routes, services, teams and limits

  Scenario Outline: All errors of a malformed document are reported
    When the platform's document <defect>
    Then the document is rejected with at least <count> findings

    Examples:
      | defect                         | count |
      | is truncated                   | 1     |
      | lacks its routes               | 1     |
      | has two fields of a wrong type | 2     |
      | is not JSON                    | 1     |
      | has a store without a port     | 1     |
      | names a service it lacks beside sound shares | 1 |
      | has two teams of one name with one key | 1 |

  # Documents that the platform calls invalid were put in force.
  Scenario: A service beside shares and a key twice in one team are sound
    When the platform's document names a service twice and a key twice
    Then the table has its two shares

  Scenario: Malformed entries of the list are skipped
    When a list with well-formed and malformed entries is read
    Then only the well-formed entries are targets

  # One odd entry made the whole list unreadable, could not be stored, or named
  # a target although it lacked a field.
  Scenario Outline: One odd entry of the list leaves the others in force
    When a list with a good entry and one that <oddity> is read
    Then only the good entry is a target, and it can be stored

    Examples:
      | oddity                               |
      | is nested 100000 arrays deep         |
      | is nested 100000 objects deep        |
      | has 10^30 slots                      |
      | has a negative number of slots       |
      | was born 10^30 ms after 1970         |
      | has weights of the version 10^30     |
      | has an id with a lone surrogate      |
      | has an id that is not UTF-8          |
      | has an id of two lines               |
      | has an id that is not ASCII          |
      | has an id of 100000 characters       |
      | has the port 99999                   |
      | has the port -1                      |
      | has a bare word as its id            |
      | has brackets in a text and no state  |
      | lacks its id                         |
      | lacks its service                    |
      | lacks its address                    |
      | lacks its failure_domain             |
      | lacks its slots                      |
      | lacks its state                      |
      | lacks its version                    |
      | lacks its cold_remaining_ms          |
      | has an array as its id               |
      | has an array as its service          |
      | has an array as its address          |
      | has an array as its failure_domain   |
      | has an array as its slots            |
      | has an array as its state            |
      | has an array as its version          |
      | has an array as its cold_remaining_ms |
      | has a model without its version      |

  Scenario Outline: Integers that can't be stored are findings
    When a document with 10^30 as its <field> is read
    Then the document is rejected with at least 1 findings

    Examples:
      | field          |
      | version        |
      | weight         |
      | slots          |
      | max_body_bytes |

  Scenario: The allowance of a team is read from a document
    When a document whose team has rate_per_s 5.5, burst 9, unit "tokens" and plain_tokens 200 is read
    Then the team may use 5.5 tokens a second and 9 more, and a plain request counts as 200

  Scenario Outline: An allowance that names no limit is none
    When a document whose team has <field> <value> is read
    Then the team has no allowance

    Examples:
      | field      | value |
      | rate_per_s | 0     |
      | rate_per_s | null  |
      | burst      | 9     |
      | unit       | null  |

  Scenario Outline: An allowance that is no number is a finding
    When a document whose team has <field> <value> is read
    Then the document is rejected with at least 1 findings

    Examples:
      | field        | value    |
      | rate_per_s   | -1       |
      | rate_per_s   | NaN      |
      | rate_per_s   | Infinity |
      | rate_per_s   | 1e300    |
      | rate_per_s   | "many"   |
      | burst        | -1       |
      | burst        | [1]      |
      | unit         | "pages"  |
      | plain_tokens | -5       |
      | plain_tokens | 1.5      |

  Scenario: A list that can't be read completely is an error
    When a list whose second page fails is read
    Then reading the list fails

  # A page that didn't say whether another one follows counted as the last one,
  # so that all targets of the other pages were taken out of use.
  Scenario: A page that names no next page and no end is not the whole list
    When a list whose first page has no "next" is read
    Then reading the list fails

  # Each read called the provider a hundred times, until it rejected calls.
  Scenario: A list that names a page twice is given up at once
    When a list whose second page names itself as the next is read
    Then reading the list fails
    And the list was called 2 times

  Scenario Outline: The load that a target reports
    When a target answers 200 with the load "<load>"
    Then the answer says <running> running, <waiting> waiting, pace <percent>

    Examples:
      | load                | running | waiting | percent |
      | 3,1,32              | 3       | 1       | None    |
      | 3,1,32,70           | 3       | 1       | 70      |
      | 3, 1, 32, 170.5     | 3       | 1       | 170.5   |
      | 3,1,32,100,8,x      | 3       | 1       | 100     |
      | 3,1,32,             | 3       | 1       | None    |
      | 3,1,32,0            | 3       | 1       | None    |
      | 3,1,32,-70          | 3       | 1       | None    |
      | 3,1,32,nan          | 3       | 1       | None    |
      | 3,1,32,1e3          | 3       | 1       | None    |
      | 3,1,32,99999999     | 3       | 1       | None    |
      | 3,1,32,1_00         | 3       | 1       | None    |
      | 33,1,32,70          | None    | 0       | None    |
      | 3,1                 | None    | 0       | None    |
      | 3,-1,32,70          | None    | 0       | None    |
      | fast,slow,70        | None    | 0       | None    |

  Scenario: A load that is malformed in each answer costs few lines
    When a target answers 250 times with the load "3,1,32,fast"
    Then at most 3 lines say so

  @promise.no_foreign_cache
  Scenario: What a target fetches and saves is told by the system alone
    When a caller's headers that name stores are forwarded with the entry's own
    Then the target gets only the addresses set by the entry

  Scenario Outline: The run number of a store
    When the run number of a store that answers <answer> is read
    Then <result>

    Examples:
      | answer                      | result                          |
      | with run number 77          | the run number is 77            |
      | with status 429             | the store counts as unreachable |
      | without a run number        | the store counts as unreachable |
      | with a body of another type | the store counts as unreachable |
