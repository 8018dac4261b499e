Feature: Requests outlive crashes
  The checker judges from what the callers saw and the engines recorded.

  Background:
    Given a fleet of real processes with a fault proxy on every connection

  @cell.engine_crash.request.choose @cell.engine_crash.request.queue
  @cell.engine_crash.request.first_token @cell.engine_crash.request.stream
  @cell.engine_crash.request.finish
  Scenario Outline: An engine crashes while requests are at <step>
    When engine_crash strikes the fleet while calls are at <step>
    Then every call of the fleet is answered whole

    Examples:
      | step        |
      | choose      |
      | queue       |
      | first_token |
      | stream      |
      | finish      |

  @cell.agent_crash.request.choose @cell.agent_crash.request.queue
  @cell.agent_crash.request.first_token @cell.agent_crash.request.stream
  @cell.agent_crash.request.finish
  Scenario Outline: An agent crashes while requests are at <step>
    When agent_crash strikes the fleet while calls are at <step>
    Then every call of the fleet is answered whole

    Examples:
      | step        |
      | choose      |
      | queue       |
      | first_token |
      | stream      |
      | finish      |

  @cell.entry_restart.request.accept @cell.entry_restart.request.choose
  @cell.entry_restart.request.queue @cell.entry_restart.request.first_token
  @cell.entry_restart.request.stream @cell.entry_restart.request.finish
  Scenario Outline: All entries restart while requests are at <step>
    When entry_restart strikes the fleet while calls are at <step>
    Then every call of the fleet is answered whole

    Examples:
      | step        |
      | accept      |
      | choose      |
      | queue       |
      | first_token |
      | stream      |
      | finish      |

  @cell.fault_twice.request.accept @cell.fault_twice.request.choose
  @cell.fault_twice.request.queue @cell.fault_twice.request.first_token
  @cell.fault_twice.request.stream @cell.fault_twice.request.finish
  Scenario Outline: An agent crashes, and the next one, while requests are at <step>
    When fault_twice strikes the fleet while calls are at <step>
    Then every call of the fleet is answered whole

    Examples:
      | step        |
      | accept      |
      | choose      |
      | queue       |
      | first_token |
      | stream      |
      | finish      |
