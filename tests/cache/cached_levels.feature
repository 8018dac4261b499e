Feature: An agent knows which prefix levels its engine has cached

  Background:
    Given known levels and an index with blocks "aa,bb"

  Scenario: The deepest level whose last block is cached counts
    Given the prefix levels "season:4:aa,member:7:bb"
    Then 7 pieces of levels "season,member" are cached
    And 4 pieces of levels "season,other" are cached

  Scenario: A level that the engine evicted does not count as cached
    Given the prefix levels "season:4:aa,member:7:cc"
    Then 4 pieces of levels "season,member" are cached

  Scenario: A computed level counts as cached before its cache event
    Given the prefix levels "season:4:cc"
    When levels "season" are computed
    Then 4 pieces of levels "season" are cached
    When the clock of the levels advances by 2000 ms
    Then 0 pieces of levels "season" are cached

  Scenario: A level whose computation ended early does not count as cached
    Given the prefix levels "season:4:cc" expected to be computed within 60000 ms
    Then 4 pieces of levels "season" are cached
    When the computation of levels "season" ends early
    Then 0 pieces of levels "season" are cached

  Scenario: No level counts as cached while the index is out of sync
    Given the prefix levels "season:4:aa"
    When the index of the levels is invalidated
    Then 0 pieces of levels "season" are cached

  Scenario: The lifetime of unused blocks follows the age of evicted blocks
    Given no block was evicted yet
    Then the lifetime of unused blocks is 0 ms
    When a block is used and 2000 ms later evicted
    Then the lifetime of unused blocks is 2000 ms
    When the clock of the levels advances by 5000 ms
    Then the lifetime of unused blocks is 5000 ms
