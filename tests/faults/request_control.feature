Feature: Requests need no control instance
  The checker judges from what the callers saw and the engines recorded.

  Background:
    Given a fleet of real processes with a fault proxy on every connection

  @cell.control_loss.request.accept @cell.control_loss.request.choose
  @cell.control_loss.request.queue @cell.control_loss.request.first_token
  @cell.control_loss.request.stream @cell.control_loss.request.finish
  Scenario Outline: The leader crashes while requests are at <step>
    When control_loss strikes the fleet while calls are at <step>
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

  @cell.control_partition.request.accept @cell.control_partition.request.choose
  @cell.control_partition.request.queue
  @cell.control_partition.request.first_token
  @cell.control_partition.request.stream @cell.control_partition.request.finish
  Scenario Outline: The leader is cut off while requests are at <step>
    When control_partition strikes the fleet while calls are at <step>
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

  @cell.partition_then_restart.request.accept
  @cell.partition_then_restart.request.choose
  @cell.partition_then_restart.request.queue
  @cell.partition_then_restart.request.first_token
  @cell.partition_then_restart.request.stream
  @cell.partition_then_restart.request.finish
  Scenario Outline: Cut-off processes restart while requests are at <step>
    When partition_then_restart strikes the fleet while calls are at <step>
    Then every call of the fleet is answered whole

    Examples:
      | step        |
      | accept      |
      | choose      |
      | queue       |
      | first_token |
      | stream      |
      | finish      |

  @cell.restart_behind.request.accept @cell.restart_behind.request.choose
  @cell.restart_behind.request.queue @cell.restart_behind.request.first_token
  @cell.restart_behind.request.stream @cell.restart_behind.request.finish
  Scenario Outline: An entry comes back behind hundreds of changes while requests are at <step>
    When restart_behind strikes the fleet while calls are at <step>
    Then every call of the fleet is answered whole
    And the restarted entry serves by the newest change at once

    Examples:
      | step        |
      | accept      |
      | choose      |
      | queue       |
      | first_token |
      | stream      |
      | finish      |
