Feature: Estimated prefill rate of engines

  Scenario Outline: The estimate is close soon after the first answers
    Given engines that prefill <rate> tokens per ms
    When 20 prompts are prefilled within 2 s
    Then the estimated rate is within 25 in 100 of the true one
    And an engine without an answer yet is assumed to be as fast

    Examples:
      | rate |
      | 20   |
      | 40   |
      | 60   |
      | 92   |
      | 200  |

  Scenario: A slow engine does not lower the estimates of the others
    Given engines that prefill 60 tokens per ms
    When 20 prompts are prefilled within 2 s
    And one engine slows down to 15 tokens per ms
    And 40 prompts are prefilled within 4 s
    Then that engine's estimated rate is below three fifths of the others

  Scenario: One very slow answer hardly changes the estimate
    Given engines that prefill 60 tokens per ms
    When 20 prompts are prefilled within 2 s
    And one answer takes 60 s
    Then the estimated rate is within 25 in 100 of the true one

  Scenario: Prompts reported by other entries count as well
    Given engines that prefill 92 tokens per ms
    When another entry reports 20 prefilled prompts
    Then the estimated rate is within 25 in 100 of the true one

  Scenario Outline: Target selection adapts to the prefill rate
    Given engines that prefill <rate> tokens per ms
    When a load of <rate> tokens per ms is placed on engines of that rate
    Then at least <share> in 100 are answered on time
    And with the initial rate only, <verdict> are

    Examples:
      | rate | share | verdict |
      | 20   | 50    | as many |
      | 40   | 75    | as many |
      | 60   | 85    | fewer   |
      | 92   | 80    | fewer   |
      | 200  | 90    | fewer   |
