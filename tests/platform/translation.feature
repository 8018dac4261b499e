Feature: Translation between the platform's words and the product's

  Scenario: A request's headers are read once into what they say
    When a caller's headers are read
    Then the request's id, patience, key, model, parts and tokens are known

  Scenario Outline: Headers that can't be read are a clear error
    When a caller's header "<name>" is "<value>"
    Then reading it fails and names "<name>"

    Examples:
      | name          | value     |
      | x-attempt-id  |           |
      | x-deadline-ms | soon      |
      | x-deadline-ms | -1        |
      | x-deadline-ms | inf       |
      | x-token-usage | many      |
      | x-prefix-hash | abc       |
      | x-prefix-hash | abc:many  |

  Scenario Outline: What an answer means for its request
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

  Scenario: Headers that concern one connection are not sent on
    When a caller's headers with "Connection: close, X-Once" are sent on
    Then neither "connection" nor "x-once" is among them

  Scenario: A document becomes a route table
    When the platform's document is read
    Then the table has its routes, services, teams and limits

  Scenario Outline: A document that can't be read tells all that is wrong
    When the platform's document <defect>
    Then the document is refused with at least <count> findings

    Examples:
      | defect                       | count |
      | is cut short                 | 1     |
      | lacks its routes             | 1     |
      | has two fields of wrong type | 2     |
      | is not JSON                  | 1     |
      | has a store without a port   | 1     |

  Scenario: Entries of the list that can't be read name no target
    When a list with good and unreadable entries is read
    Then only the good entries are targets

  Scenario: A list that can't be read whole is no list
    When a list whose second page fails is read
    Then there is no list

  @promise.no_foreign_cache
  Scenario: What a target fetches and saves is told by the system alone
    When a caller's headers that name stores are sent on to fetch and save
    Then the target is told the system's own addresses

  Scenario Outline: A store is known by its run
    When a store that answers <answer> is asked for its run
    Then <result>

    Examples:
      | answer             | result               |
      | with a run of 77   | its run is 77        |
      | with status 429    | it can't be reached  |
      | without a run      | it can't be reached  |
      | with bytes         | it can't be reached  |
