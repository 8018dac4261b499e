Feature: A stopped agent cuts no request, whatever freezes or races
  The checker judges from what the callers saw and the targets recorded.

  Background:
    Given a fleet of real processes with a fault proxy on every connection

  @cell.process_freeze.drain.announce @cell.process_freeze.drain.hand_back
  @cell.process_freeze.drain.finish @cell.process_freeze.drain.exit
  Scenario Outline: Processes freeze past their leases while a drain is at <step>
    When process_freeze strikes the fleet while an agent's drain is at <step>
    Then every call of the fleet is answered whole
    And the agent of the fleet ends with 0

    Examples:
      | step      |
      | announce  |
      | hand_back |
      | finish    |
      | exit      |

  @cell.operator_race.drain.announce @cell.operator_race.drain.hand_back
  @cell.operator_race.drain.finish @cell.operator_race.drain.exit
  Scenario Outline: Operators race while a drain is at <step>
    When operator_race strikes the fleet while an agent's drain is at <step>
    Then every call of the fleet is answered whole
    And no caller of the fleet saw the fault
    And the agent of the fleet ends with 0

    Examples:
      | step      |
      | announce  |
      | hand_back |
      | finish    |
      | exit      |
