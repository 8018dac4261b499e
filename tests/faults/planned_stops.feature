Feature: Planned stops cut no request, and a leaving target gets no new one
  The checker judges from what the callers saw and the targets recorded.

  Background:
    Given a fleet of real processes with a fault proxy on every connection

  Scenario Outline: An entry is told to stop while requests are at <step>
    When entry_stop strikes the fleet while calls are at <step>
    Then every call of the fleet is answered whole
    And no caller of the fleet saw the fault
    And the stopped entry of the fleet ends with 0

    Examples:
      | step        |
      | queue       |
      | first_token |
      | stream      |
      | finish      |

  Scenario: A target that the platform lists as leaving gets no new request
    When the platform lists a busy target of the fleet as leaving
    And 3000 ms pass since the platform's list says so
    Then calls of the fleet that come now are answered without that target
    And the agent of the fleet ends with 0
