Feature: Commands that call control instances

  Background:
    Given operator endpoints "c1" and "c2"

  Scenario: The next endpoint is tried when one is unreachable
    Given the operator endpoint "c1" is down
    When the operator runs "defaults show"
    Then the operator command exits with 0
    And standard output contains "limits.max_running"

  Scenario: A command fails when no endpoint can be reached
    Given the operator endpoint "c1" is down
    And the operator endpoint "c2" is down
    When the operator runs "defaults show"
    Then the operator command exits with 4
    And standard error contains "unreachable"

  Scenario: A change whose response was lost is resent with the same id
    Given the operator endpoint "c1" drops the responses to "/v1/defaults" writes
    When the operator runs "defaults set limits.max_running 4 --reason tuning"
    Then the operator command exits with 0
    And both operator endpoints received the same change
    And standard error contains "resend with --change-id"

  Scenario Outline: The next endpoint is tried when one does not respond
    Given the operator endpoint "c1" stops responding
    When the operator runs "<command>"
    Then the operator command exits with 0
    And both operator endpoints received the same <what>

    Examples:
      | command                                           | what   |
      | defaults show                                     | read   |
      | defaults set limits.max_running 4 --reason tuning | change |

  Scenario: The outcome of a change is unknown if no endpoint responds
    Given the operator endpoint "c1" drops the responses to "/v1/defaults" writes
    And the operator endpoint "c2" drops the responses to "/v1/defaults" writes
    When the operator runs "defaults set limits.max_running 4 --reason tuning"
    Then the operator command exits with 5
    And standard error contains "outcome unknown"

  Scenario: A write without a change id is sent only once
    Given the operator endpoint "c1" drops the responses to "/v1/orders/o1/resolve"
    When the operator runs "order resolve o1 ran --reason seen-at-target"
    Then the operator command exits with 5
    And the operator endpoint "c1" received "/v1/orders/o1/resolve" once
    And the operator endpoint "c2" did not receive "/v1/orders/o1/resolve"

  Scenario: A conflict names the change that was accepted instead
    Given the operator endpoint "c1" answers "/v1/defaults" writes with a conflict
    When the operator runs "defaults set limits.max_running 4 --reason tuning"
    Then the operator command exits with 3
    And standard error contains "accepted instead: revision 6 by ada (change w1)"

  Scenario: A refusal shows every finding
    Given the operator endpoint "c1" answers "/v1/defaults" writes with findings
    When the operator runs "defaults set limits.max_running 4 --reason tuning"
    Then the operator command exits with 3
    And standard error contains "first finding"
    And standard error contains "second finding"

  Scenario: Without a quorum the time to wait before a retry is shown
    Given no operator endpoint has a quorum
    When the operator runs "defaults set limits.max_running 4 --reason tuning"
    Then the operator command exits with 3
    And standard error contains "try again in 700 ms"

  Scenario Outline: <command> is rejected before anything is sent
    When the operator runs "<command>"
    Then the operator command exits with 2
    And no operator endpoint received anything

    Examples:
      | command                                                     |
      | defaults set limits.max_running 4                           |
      | defaults set limits.max_running no --reason r               |
      | defaults set limits.max_running 0 --reason r                |
      | defaults set limits.none 1 --reason r                       |
      | exceptions add zone:a limits.max_running 1 --reason r       |
      | exceptions add team:a limits.max_running 1                  |
      | exceptions add model:a limits.team_share 1 --reason r       |
      | members replace c1 c4 nowhere                               |
      | order resolve o1 perhaps --reason r                         |

  Scenario: The revision of --expect is used without reading the present one
    When the operator runs "exceptions add team:a limits.team_share 2 --reason big --expect 3 --change-id k1"
    Then the operator command exits with 0
    And the operator endpoint "c1" received the change "k1" expecting revision 3

  Scenario: The key is sent, and only as a header
    Given an operator key file with "secret-1"
    When the operator runs "history" with the key file
    Then the operator command exits with 0
    And the operator endpoint "c1" received the key "secret-1"

  Scenario: The JSON of the response is printed
    When the operator runs "targets --json"
    Then the operator command exits with 0
    And standard output is JSON with "targets"

  Scenario: Waiting for a revision fails when a process lacks it
    Given the operator endpoint "c1" answers that "e1" lacks the revision
    When the operator runs "status --wait 5 --timeout-ms 100"
    Then the operator command exits with 1
    And standard output contains "lacking: e1"

  Scenario: An entry's explanation shows the candidates, their scores and the choice
    Given the operator endpoint "c1" explains request "r1" with two candidates
    When the operator asks the entry "c1" to explain "r1"
    Then the operator command exits with 0
    And standard output contains "attempt 1: t2 (t1 was full)"
    And standard output contains "t1         12.500  3.0       2               cached"

  Scenario: Explaining a request that the entry does not know is refused
    Given the operator endpoint "c1" does not know request "r1"
    When the operator asks the entry "c1" to explain "r1"
    Then the operator command exits with 3
    And standard error contains "not_found"
