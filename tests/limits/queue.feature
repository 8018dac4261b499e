Feature: A queue that shares a target fairly among teams

  Scenario: A team with ten times the requests does not delay another team
    Given an empty fair queue
    When team "large" queues 50 requests of 100 ms at priority 10
    And team "small" queues 5 requests of 100 ms at priority 10
    Then the next 10 served requests include 5 of team "small"

  Scenario: A team with a larger weight gets more work done
    Given an empty fair queue
    When team "double" with weight 2 queues 20 requests of 100 ms at priority 10
    And team "single" queues 20 requests of 100 ms at priority 10
    Then the next 12 served requests include 4 of team "single"

  Scenario: Costly requests count for more
    Given an empty fair queue
    When team "long" queues 10 requests of 400 ms at priority 10
    And team "short" queues 10 requests of 100 ms at priority 10
    Then the next 10 served requests include 8 of team "short"

  Scenario: Smaller priorities are served first
    Given an empty fair queue
    When team "later" queues 5 requests of 100 ms at priority 50
    And team "sooner" queues 5 requests of 100 ms at priority 10
    Then the next 5 served requests include 5 of team "sooner"

  Scenario: A low priority is not starved
    Given an empty fair queue
    When team "old" queues 1 requests of 100 ms at priority 50
    And 11000 ms pass in the queue
    And team "new" queues 5 requests of 100 ms at priority 10
    Then the next 1 served requests include 1 of team "old"

  Scenario: An idle team does not accumulate credit
    Given an empty fair queue
    When team "steady" queues 20 requests of 100 ms at priority 10
    And 10 requests are served
    And team "late" queues 10 requests of 100 ms at priority 10
    Then the next 10 served requests include 5 of team "late"

  Scenario: Each request is served exactly once
    Then any mix of requests is served exactly once

  Scenario: The number of stored teams is bounded
    Given an empty fair queue
    When 17000 teams queue and are served one after another
    Then the queue stores at most 1100 teams
