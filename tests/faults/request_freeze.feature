Feature: Requests outlive freezes
  The checker judges from what the callers saw and the engines recorded.

  Background:
    Given a fleet of real processes with a fault proxy on every connection

  @cell.process_freeze.request.accept @cell.process_freeze.request.choose
  @cell.process_freeze.request.queue @cell.process_freeze.request.first_token
  @cell.process_freeze.request.stream @cell.process_freeze.request.finish
  Scenario Outline: Processes freeze past their leases while requests are at <step>
    When process_freeze strikes the fleet while calls are at <step>
    Then every call of the fleet is answered whole

    Examples:
      | step        |
      | accept      |
      | choose      |
      | queue       |
      | first_token |
      | stream      |
      | finish      |
