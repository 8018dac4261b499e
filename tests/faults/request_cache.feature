Feature: Requests rely on no cache entry that is not there
  The checker judges from what the callers saw and the engines recorded.

  Background:
    Given a fleet of real processes with a fault proxy on every connection

  @cell.event_loss.request.choose @cell.event_loss.request.queue
  @cell.event_loss.request.first_token
  Scenario Outline: Cache events are lost while requests are at <step>
    When event_loss strikes the fleet while calls are at <step>
    Then every call of the fleet is answered whole
    And no caller of the fleet saw the fault
    And every index of the fleet is synced again

    Examples:
      | step        |
      | choose      |
      | queue       |
      | first_token |

  @cell.hot_shift.request.choose @cell.hot_shift.request.queue
  @cell.hot_shift.request.first_token
  Scenario Outline: The hot prefix shifts while requests are at <step>
    When hot_shift strikes the fleet while calls are at <step>
    Then every call of the fleet is answered whole
    And no caller of the fleet saw the fault

    Examples:
      | step        |
      | choose      |
      | queue       |
      | first_token |
