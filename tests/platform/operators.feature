Feature: The endpoint for the platform's operators

  Scenario Outline: How a call of an operator ends
    Given an operators' endpoint whose control <state>
    When an operator <call>
    Then the operator's answer is <status>

    Examples:
      | state           | call                                | status |
      | leads           | puts a route table                  | 200    |
      | leads           | puts a route table again            | 200    |
      | leads           | puts an older route table           | 200    |
      | leads           | puts a table cut short              | 400    |
      | leads           | puts a table with unknown service   | 400    |
      | leads           | names weights                       | 200    |
      | leads           | names weights of no model           | 400    |
      | leads           | reads the table before any          | 503    |
      | has no leader   | puts a route table                  | 503    |
      | has no leader   | puts a table cut short              | 400    |
      | has no leader   | names weights                       | 503    |
      | has no leader   | reads the table before any          | 503    |

  Scenario: What is read back is what was sent
    Given an operators' endpoint whose control leads
    When an operator puts a route table
    And an operator reads the table
    Then the operator reads the bytes that were put
