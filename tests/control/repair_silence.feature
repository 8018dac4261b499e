Feature: Silence during the repair of a control instance

  Background:
    Given a config fleet of which one control instance lost its disk

  @cell.silent_connection.repair.add @cell.silent_connection.repair.catch_up
  @cell.silent_connection.repair.promote @cell.silent_connection.repair.remove
  Scenario Outline: All connections go silent
    When its repair has come to <step>
    And all open connections between control instances go silent
    Then the repair ends as reported, with nothing lost

    Examples:
      | step     |
      | add      |
      | catch_up |
      | promote  |
      | remove   |

  @cell.silence_once_call.repair.add @cell.silence_once_call.repair.catch_up
  @cell.silence_once_call.repair.promote @cell.silence_once_call.repair.remove
  Scenario Outline: The operator's call goes silent
    When its repair has come to <step>
    And the connection that carries the operator's call goes silent
    Then the repair ends as reported, with nothing lost

    Examples:
      | step     |
      | add      |
      | catch_up |
      | promote  |
      | remove   |
