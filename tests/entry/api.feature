Feature: The HTTP endpoint of an entry

  Background:
    Given an entry with fake peers

  Scenario Outline: A caller without a known key is refused
    When a caller with key "<key>" asks for a whole chat "hi"
    Then the entry answers 401 with reason "unauthorized", not run
    And no agent got a request

    Examples:
      | key       |
      | none      |
      | key-other |

  Scenario: An unknown key is refused temporarily if settings may be outdated
    Given the settings of the entry may be outdated
    When a caller with key "key-other" asks for a whole chat "hi"
    Then the entry answers 503 with reason "fleet_lease", not run
    When a caller asks for a whole chat "hi"
    Then the caller gets the complete answer to "hi"

  Scenario Outline: An invalid body gets a clear error
    When a caller posts <body> to "/v1/chat/completions"
    Then the entry answers 400 with reason "bad_request", not run
    And the error message contains <place>

    Examples:
      | body                                                                  | place         |
      | {                                                                     | body          |
      | {"model":"m"}                                                         | messages      |
      | {"model":"m","messages":[{"role":"user"}]}                            | content       |
      | {"model":"m","messages":[{"role":"u","content":"x"}],"n":2}           | n             |
      | {"model":"m","messages":[{"role":"u","content":[{"type":"image_url"}]}]} | image_url  |
      | {"model":"m","messages":[{"role":"u","content":"x"}],"prefix_levels":[9]} | prefix_levels |

  Scenario Outline: An invalid header gets a clear error
    When a caller sends header "<name>" with value "<value>"
    Then the entry answers 400 with reason "bad_request", not run
    And the error message contains <name>

    Examples:
      | name             | value    |
      | X-Deadline-Ms    | soon     |
      | X-Deadline-Ms    | 0        |
      | X-Priority-Class | urgent   |
      | X-Request-Id     | a b      |
      | Idempotency-Key  | a b      |

  Scenario: The caller's request id is echoed and differs from the internal one
    When a caller sends header "X-Request-Id" with value "mine-1"
    And a caller sends header "X-Request-Id" with value "mine-1"
    Then the answer echoes request id "mine-1"
    And the agents saw 2 different request ids, none of them "mine-1"

  Scenario Outline: Every answer carries a request id
    When a caller gets "<path>"
    Then the entry answers <status>
    And the answer has a request id

    Examples:
      | path            | status |
      | /health/live    | 200    |
      | /health/ready   | 200    |
      | /v1/models      | 200    |
      | /v1/counters    | 200    |
      | /v1/nothing     | 404    |
      | /v1/explain/x   | 404    |
      | /v1/orders/x    | 404    |

  Scenario: A body beyond the limit is refused
    When a caller posts 5000000 bytes to "/v1/completions"
    Then the entry answers 413 with reason "too_large", not run

  Scenario: A model that no live target serves is refused at once
    When a caller posts {"model":"x","prompt":"hi"} to "/v1/completions"
    Then the entry answers 503 with reason "no_target", not run
    And the answer has a retry delay

  Scenario: A routing decision can be looked up by the caller's request id
    When a caller sends header "X-Request-Id" with value "mine-2"
    And a caller gets "/v1/explain/mine-2"
    Then the explanation names the target that ran the request

  Scenario: Priority, deadline and levels reach the agent
    When a caller sends header "X-Priority-Class" with value "check"
    Then the agent got priority 10, a deadline within 10000 ms and a level key

  # Guards against shared pieces of a team that has stopped sharing them.
  @promise.no_foreign_cache
  Scenario: A request carries the sharing generation of its shared levels
    Given the option "prefix.shared_levels" is 1 for team "team-a"
    When a caller posts {"model":"m","messages":[{"role":"u","content":"xyz"}],"prefix_levels":[1,2]} to "/v1/chat/completions"
    Then the agent got 2 shared levels of the sharing generation in force

  Scenario: A restarted entry chooses the same targets as before
    When the caller asks for 10 different chats
    And the entry restarts
    And the caller asks for 10 different chats
    Then each chat went to the same target both times
