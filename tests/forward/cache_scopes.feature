Feature: Each send uses the cache scope of the table in force

  # Guards against sends that use the scope which their team had on arrival.
  @promise.no_foreign_cache
  Scenario: A stream goes on in the scope of a team that became isolated
    Given a direct target that cuts inside an event
    And another direct target that cuts inside an event
    When its team becomes isolated while a stream waits for its second target
    Then the cache scopes of its runs are 0 and 0.team-a

  # A team whose name is no Latin-1 text got 500 for each request.
  @promise.whole
  Scenario Outline: A team of the name <name> is served, isolated or not
    Given a direct target that answers
    And the team has the name <name> and <isolation>
    When a prompt of the team is forwarded
    Then the answer is 200
    And the target got the team <header> and the cache scope <scope>

    Examples:
      | name       | isolation   | header       | scope                   |
      | "caf\u00e9"   | shares      | "caf\u00e9"     | "0"                     |
      | "\u82b1\u5b50" | shares   | "\u82b1\u5b50" | "0"                    |
      | "\u82b1\u5b50" | is isolated | "\u82b1\u5b50" | "0.%E8%8A%B1%E5%AD%90" |
      | "a\r\nb: c"   | is isolated | "a??b: c"    | "0.a%0D%0Ab%3A%20c"     |
      | "a b"      | is isolated | "a b"        | "0.a%20b"               |
