Feature: Each send uses the cache scope of the table in force

  # Guards against sends that use the scope which their team had on arrival.
  @promise.no_foreign_cache
  Scenario: A stream goes on in the scope of a team that became isolated
    Given a direct target that cuts inside an event
    And another direct target that cuts inside an event
    When its team becomes isolated while a stream waits for its second target
    Then the cache scopes of its runs are 0 and 0.team-a
