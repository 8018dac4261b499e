Feature: Ranking of targets

  Scenario: The ranking depends only on the key and the targets
    Given 8 routing targets
    Then 500 keys rank the targets alike in any order of the list

  Scenario: Removing a target moves only the keys that ranked it first
    Given 8 routing targets
    When routing target "t3" is removed
    Then of 500 keys only those that ranked "t3" first have moved
    And each remaining routing target has some of the moved keys

  Scenario: A target's share of the keys is proportional to its slots
    Given 4 routing targets
    And routing target "t0" has 24 slots
    Then of 2000 keys routing target "t0" ranks first for 45 to 55 percent
