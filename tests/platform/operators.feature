Feature: The HTTP API for the platform's operators

  Scenario Outline: Status of an operator's call
    Given an operator API whose control <state>
    When an operator <call>
    Then the operator's answer is <status>

    Examples:
      | state                   | call                              | status |
      | instance leads          | puts a route table                | 200    |
      | instance leads          | puts a route table again          | 200    |
      | instance leads          | puts an older route table         | 200    |
      | instance leads          | puts a truncated table            | 400    |
      | instance leads          | puts a table with unknown service | 400    |
      | instance leads          | names weights                     | 200    |
      | instance leads          | names weights without a model     | 400    |
      | instance leads          | reads the table before any is put | 503    |
      | group has no leader     | puts a route table                | 503    |
      | group has no leader     | puts a truncated table            | 400    |
      | group has no leader     | names weights                     | 503    |
      | group has no leader     | reads the table before any is put | 503    |

  Scenario: The table is read back as it was put
    Given an operator API whose control instance leads
    When an operator puts a route table
    And an operator reads the table
    Then the operator gets the same bytes that were put
