Feature: Requests beyond the allowance of their team

  @promise.allowances
  Scenario Outline: A team that asks for more gets its allowance
    Given <entries> entries and a team that may use <rate> <unit> a second
    When each entry gets 40 requests of 100 tokens a second for 5 s
    Then no 2 s bring the target more than the bound of the allowance
    And at least 0.7 of the allowance was used
    And every other request was refused with 429 and a time to come back

    Examples:
      | entries | rate | unit     |
      | 1       | 1000 | tokens   |
      | 3       | 3000 | tokens   |
      | 3       | 30   | requests |

  @promise.allowances
  Scenario: A team within its allowance is not refused
    Given 3 entries and a team that may use 20000 tokens a second
    When each entry gets 20 requests of 200 tokens a second for 3 s
    Then no request of the team was refused

  # They were refused after an eighth of the objective, which is 500 ms.
  Scenario: Requests within the allowance wait for a late leader
    Given 2 entries and a team that may use 20000 tokens a second
    And the leader of allowances replies after 90 ms
    When each entry gets 2 requests of 900 tokens a second for 3 s
    Then no request of the team was refused

  @promise.allowances
  Scenario: Without a leader the bound holds, and what is refused comes back
    Given 2 entries and a team that may use 2000 tokens a second
    And the leader of allowances is lost after 1 s
    When each entry gets 40 requests of 100 tokens a second for 5 s
    Then no 2 s bring the target more than the bound of the allowance
    And every other request was refused with 429 and a time to come back

  @promise.allowances
  Scenario: A request larger than the allowance ever allows is told so
    Given 1 entries and a team that may use 1000 tokens a second
    When each entry gets 1 requests of 90000 tokens a second for 1 s
    Then each request was refused with 429 without a time to come back

  Scenario: A refusal names the team, its rate and what the request counts as
    Given 1 entries and a team that may use 1000 tokens a second
    When each entry gets 1 requests of 90000 tokens a second for 1 s
    Then the refusals tell "team team-a has an allowance of 1000 a second; the request counts as 90000"
