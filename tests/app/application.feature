Feature: The life cycle of an application

  Scenario: Parts start in order, drain and stop in reverse
    Given an application with parts a, b and c
    When the application runs and is told to stop
    Then the application's parts saw "start a, start b, start c, drain c, drain b, drain a, stop c, stop b, stop a"

  Scenario: A part that fails to start stops the ones started before
    Given an application with parts a, b and c
    And part b of the application fails to start
    When the application runs
    Then the application's parts saw "start a, start b, stop a"
    And running the application raised "b failed to start"

  Scenario: A part that fails to stop leaves none running
    Given an application with parts a, b and c
    And part b of the application fails to stop
    When the application runs and is told to stop
    Then the application's parts saw "start a, start b, start c, drain c, drain b, drain a, stop c, stop b, stop a"
    And running the application raised "b failed to stop"

  Scenario: A drain that never ends is cut off by its time limit
    Given an application with parts a, b and c
    And part c of the application never drains
    When the application runs and is told to stop
    Then the application's parts saw "start a, start b, start c, drain c, stop c, stop b, stop a"

  Scenario: A part that fails to drain leaves the others their drain
    Given an application with parts a, b and c
    And part c of the application fails to drain
    When the application runs and is told to stop
    Then the application's parts saw "start a, start b, start c, drain c, drain b, drain a, stop c, stop b, stop a"

  Scenario: Told to stop while a part starts, the application starts no more
    Given an application with parts a, b and c
    And part b of the application is told to stop while it starts
    When the application runs
    Then the application's parts saw "start a, start b, drain b, drain a, stop b, stop a"

  Scenario: Background tasks end together and their failures are logged
    Given an application's task owner with a task that fails and one that runs
    When all of the task owner's tasks are cancelled
    Then the task owner logged the failure and no task is left

  Scenario: Work that is to go on is begun anew after an unexpected error
    Given an application's task owner with lasting work that fails twice
    When the lasting work has begun 3 times
    Then the task owner logged 2 failures of the lasting work
