Feature: Retry budget and circuit breakers

  Scenario: Retries are limited to a tenth of first attempts
    Given a retry budget
    When 2000 first attempts arrive over 10000 ms and each asks for 3 retries
    Then at most 211 retries were granted
    And at least 200 retries were granted

  Scenario: A process with few requests can still retry
    Given a retry budget
    When 10 first attempts arrive over 10000 ms and each asks for 1 retries
    Then at least 10 retries were granted

  Scenario: A failing target gets one probe once its circuit has been open long enough
    Given a circuit whose target failed once
    Then the circuit's target is not usable
    When the circuit's clock advances by 300 ms
    Then the circuit's target is usable
    When a probe is sent to the circuit's target
    Then the circuit's target is not usable
    When the circuit's target succeeds
    Then the circuit's target is usable

  Scenario: The open time doubles with each consecutive failure
    Given a circuit whose target failed once
    And the circuit's target fails again
    When the circuit's clock advances by 300 ms
    Then the circuit's target is not usable
    When the circuit's clock advances by 200 ms
    Then the circuit's target is usable

  Scenario Outline: A retry is free if the attempt caused no work at a target
    Given a retry budget
    When a request of at most 3 attempts keeps failing with <how>
    Then at most <most> retries were granted
    And at least <most> retries were granted
    And <spent> retries were taken out of the budget

    Examples:
      | how                  | most | spent |
      | not run: unreachable | 8    | 2     |
      | not run: draining    | 8    | 2     |
      | not run: full        | 2    | 2     |
      | broken: unreachable  | 2    | 2     |
