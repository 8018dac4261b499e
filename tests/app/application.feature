Feature: The life cycle of an application

  Scenario: Parts start in order, drain and stop in reverse
    Given an application with parts a, b and c
    When the application runs and gets SIGTERM
    Then the application's parts were called "start a, start b, start c, drain c, drain b, drain a, stop c, stop b, stop a"

  Scenario: If a part fails to start, the parts started before are stopped
    Given an application with parts a, b and c
    And part b of the application fails to start
    When the application runs
    Then the application's parts were called "start a, start b, stop a"
    And running the application raised "b failed to start"

  Scenario: If a part fails to stop, the others are stopped all the same
    Given an application with parts a, b and c
    And part b of the application fails to stop
    When the application runs and gets SIGTERM
    Then the application's parts were called "start a, start b, start c, drain c, drain b, drain a, stop c, stop b, stop a"
    And running the application raised "b failed to stop"

  Scenario: A drain that never ends is ended by its timeout
    Given an application with parts a, b and c
    And part c of the application never drains
    When the application runs and gets SIGTERM
    Then the application's parts were called "start a, start b, start c, drain c, stop c, stop b, stop a"

  Scenario: If a part fails to drain, the others are drained all the same
    Given an application with parts a, b and c
    And part c of the application fails to drain
    When the application runs and gets SIGTERM
    Then the application's parts were called "start a, start b, start c, drain c, drain b, drain a, stop c, stop b, stop a"

  Scenario: After SIGTERM during startup no further parts are started
    Given an application with parts a, b and c
    And SIGTERM arrives while part b of the application starts
    When the application runs
    Then the application's parts were called "start a, start b, drain b, drain a, stop b, stop a"

  Scenario: Background tasks are cancelled together and failures are logged
    Given a task owner with a failing task and a running one
    When all tasks of the task owner are cancelled
    Then the failure is logged and no task remains

  Scenario: Lasting work is restarted after unexpected errors
    Given a task owner with lasting work that fails twice
    When the lasting work has been started 3 times
    Then 2 failures of the lasting work are logged
