Feature: The checker of a run

  Scenario Outline: A completion's answer is judged against its own prompt
    Given a bench completion of team "t1"
    When its caller is left with <answer>
    Then the bench verdict is "<verdict>"

    Examples:
      | answer                        | verdict                                   |
      | its whole answer              | whole=1 lost=0 doubled=0 misattributed=0 |
      | a part that looks whole       | whole=0 lost=1 doubled=0 misattributed=0 |
      | the answer to another prompt  | whole=0 lost=0 doubled=0 misattributed=1 |
      | its tokens in another order   | whole=0 lost=0 doubled=0 misattributed=1 |
      | a broken connection           | whole=0 lost=1 doubled=0 misattributed=0 |
      | an explicit error             | whole=0 lost=0 doubled=0 misattributed=0 |
      | another request id            | whole=1 lost=0 doubled=0 misattributed=1 |

  Scenario Outline: Runs at the targets are compared with the callers' view
    Given a bench <call> of team "t1"
    When its caller is left with <answer>
    And the targets have recorded "<runs>"
    Then the bench verdict counts <count> "<fault>"

    Examples:
      | call       | answer            | runs                  | count | fault         |
      | order      | its whole answer  | c-0:finished          | 0     | doubled       |
      | order      | its whole answer  | c-0:finished c-0.2:finished | 1 | doubled     |
      | order      | its whole answer  | c-0:finished c-0.2:refused  | 0 | doubled     |
      | order      | a wrong digest    | c-0:finished          | 1     | misattributed |
      | order      | a "not run" error | c-0:finished          | 1     | false_not_run |
      | order      | a "not run" error | c-0:refused           | 0     | false_not_run |
      | completion | a "not run" error | c-0.1:finished        | 1     | false_not_run |
      | completion | a "not run" error | c-0.1:queued          | 0     | false_not_run |
      | completion | its whole answer  | c-0:finished c-0.1:finished | 0 | doubled     |

  Scenario: Two teams under one salt are found
    Given a bench completion of team "t1"
    When its caller is left with its whole answer
    And another team's call ran under the same salt
    Then the bench verdict counts 1 "misattributed"
