Feature: Requests outlive silence
  The checker judges from what the callers saw and the engines recorded.

  Background:
    Given a fleet of real processes with a fault proxy on every connection

  @cell.silent_connection.request.accept @cell.silent_connection.request.choose
  @cell.silent_connection.request.queue
  @cell.silent_connection.request.first_token
  @cell.silent_connection.request.stream @cell.silent_connection.request.finish
  Scenario Outline: Connections between processes go silent while requests are at <step>
    When silent_inner strikes the fleet while calls are at <step>
    Then every call of the fleet is answered whole
    And no caller of the fleet saw the fault

    Examples:
      | step        |
      | accept      |
      | choose      |
      | queue       |
      | first_token |
      | stream      |
      | finish      |

  @cell.silent_connection.request.accept @cell.silent_connection.request.choose
  @cell.silent_connection.request.queue
  @cell.silent_connection.request.first_token
  @cell.silent_connection.request.stream @cell.silent_connection.request.finish
  Scenario Outline: Callers' connections go silent while requests are at <step>
    When silent_callers strikes the fleet while calls are at <step>
    Then every call of the fleet is answered whole

    Examples:
      | step        |
      | accept      |
      | choose      |
      | queue       |
      | first_token |
      | stream      |
      | finish      |
