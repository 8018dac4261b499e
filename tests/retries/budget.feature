Feature: Retry budget and circuits

  Scenario: Retries stay a tenth of first attempts when all of them fail
    Given a retry budget
    When 2000 first attempts arrive over 10000 ms and each asks for 3 retries
    Then at most 211 retries were granted
    And at least 200 retries were granted

  Scenario: A process that sees few requests may still retry now and then
    Given a retry budget
    When 10 first attempts arrive over 10000 ms and each asks for 1 retries
    Then at least 10 retries were granted

  Scenario: A failing target gets one probe after its pause
    Given a circuit whose target failed once
    Then the circuit's target is not usable
    When the circuit's clock advances by 300 ms
    Then the circuit's target is usable
    When a probe is sent to the circuit's target
    Then the circuit's target is not usable
    When the circuit's target succeeds
    Then the circuit's target is usable

  Scenario: The pause doubles with each failure in a row
    Given a circuit whose target failed once
    And the circuit's target fails again
    When the circuit's clock advances by 300 ms
    Then the circuit's target is not usable
    When the circuit's clock advances by 200 ms
    Then the circuit's target is usable

  Scenario Outline: A retry is free if no target worked for the attempt
    Given a retry budget
    When a request of at most 3 attempts fails again and again as <how>
    Then at most <most> retries were granted
    And at least <most> retries were granted
    And <spent> retries were taken out of the budget

    Examples:
      | how                  | most | spent |
      | not run: unreachable | 8    | 2     |
      | not run: draining    | 8    | 2     |
      | not run: full        | 2    | 2     |
      | broken: unreachable  | 2    | 2     |
