Feature: A queue that shares a target fairly

  Scenario: A team at ten times its share does not hold another one up
    Given an empty fair queue
    When team "large" queues 50 requests of 100 ms at priority 10
    And team "small" queues 5 requests of 100 ms at priority 10
    Then the first 10 requests served hold 5 of team "small"

  Scenario: A team with a larger share gets more
    Given an empty fair queue
    When team "double" with share 2 queues 20 requests of 100 ms at priority 10
    And team "single" queues 20 requests of 100 ms at priority 10
    Then the first 12 requests served hold 4 of team "single"

  Scenario: Costly requests count for more
    Given an empty fair queue
    When team "long" queues 10 requests of 400 ms at priority 10
    And team "short" queues 10 requests of 100 ms at priority 10
    Then the first 10 requests served hold 8 of team "short"

  Scenario: Smaller priorities are served first
    Given an empty fair queue
    When team "later" queues 5 requests of 100 ms at priority 50
    And team "sooner" queues 5 requests of 100 ms at priority 10
    Then the first 5 requests served hold 5 of team "sooner"

  Scenario: A low priority is not starved for ever
    Given an empty fair queue
    When team "old" queues 1 requests of 100 ms at priority 50
    And 11000 ms pass in the queue
    And team "new" queues 5 requests of 100 ms at priority 10
    Then the first 1 requests served hold 1 of team "old"

  Scenario: Time that a team was away is not saved up
    Given an empty fair queue
    When team "steady" queues 20 requests of 100 ms at priority 10
    And 10 requests are served
    And team "late" queues 10 requests of 100 ms at priority 10
    Then the first 10 requests served hold 5 of team "late"

  Scenario: Each request is served exactly once, whatever the order
    Then any mix of requests is served exactly once

  Scenario: Many teams stay cheap to remember
    Given an empty fair queue
    When 17000 teams queue and are served one after another
    Then the queue remembers at most 1100 teams
