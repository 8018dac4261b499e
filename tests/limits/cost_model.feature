Feature: Cost estimates from a target's answers

  Scenario: The prefill time of a missing piece is estimated
    Given a cost model
    When 100 prompts with 3 missing pieces take 305 ms each
    Then a missing piece is expected to take 90 to 110 ms

  Scenario: The wait for an earlier prompt's prefill is not counted
    Given a cost model
    When 50 pairs of prompts with 2 missing pieces are sent together
    Then a missing piece is expected to take 35 to 45 ms

  Scenario: One outlier has little effect on an estimate
    Given a cost model
    When 1 prompts with 1 missing pieces take 60000 ms each
    Then a missing piece is expected to take 40 to 60 ms

  Scenario: Answers shorter than the allowed maximum reduce the expected decode time
    Given a cost model
    When 60 answers use 10 of 100 tokens allowed
    Then 100 tokens are expected to take 90 to 120 ms
