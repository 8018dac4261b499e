Feature: An agent tells what its engine holds of a prompt

  Background:
    Given a held-level book over an index with blocks "aa,bb"

  Scenario: The deepest level whose last block is cached counts
    Given the held-level book knows levels "season:4:aa,member:7:bb"
    Then 7 pieces of levels "season,member" are held
    And 4 pieces of levels "season,other" are held

  Scenario: A level that the engine evicted is not held
    Given the held-level book knows levels "season:4:aa,member:7:cc"
    Then 4 pieces of levels "season,member" are held

  Scenario: A level under computation counts before its cache event
    Given the held-level book knows levels "season:4:cc"
    When levels "season" are computed
    Then 4 pieces of levels "season" are held
    When the held-level clock advances by 2000 ms
    Then 0 pieces of levels "season" are held

  Scenario: A level whose computation ended early is not held
    Given the held-level book expects levels "season:4:cc" for 60000 ms
    Then 4 pieces of levels "season" are held
    When levels "season" are not computed after all
    Then 0 pieces of levels "season" are held

  Scenario: Nothing is held while the index is out of step
    Given the held-level book knows levels "season:4:aa"
    When the held-level index is dropped
    Then 0 pieces of levels "season" are held

  Scenario: The age of evicted blocks tells how long unused ones stay
    Given an eviction age
    Then the block life is 0 ms
    When a block is used and evicted 2000 ms later
    Then the block life is 2000 ms
    When the held-level clock advances by 5000 ms
    Then the block life is 5000 ms
