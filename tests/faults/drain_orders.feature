Feature: A stopped agent runs no order twice under silent connections
  The checker judges from what the callers saw and the targets recorded.

  Background:
    Given a fleet of real processes with a fault proxy on every connection

  @cell.silence_once_call.drain.announce
  Scenario: Connections go silent under orders while a drain is at announce
    When silence_once_call strikes the fleet while an agent's drain is at announce
    Then no order of the fleet ran twice or was told a falsehood
    And the agent of the fleet ends with 0

  @cell.silence_once_call.drain.hand_back
  Scenario: Connections go silent under orders while a drain is at hand_back
    When silence_once_call strikes the fleet while an agent's drain is at hand_back
    Then no order of the fleet ran twice or was told a falsehood
    And the agent of the fleet ends with 0

  @cell.silence_once_call.drain.finish
  Scenario: Connections go silent under orders while a drain is at finish
    When silence_once_call strikes the fleet while an agent's drain is at finish
    Then no order of the fleet ran twice or was told a falsehood
    And the agent of the fleet ends with 0

  @cell.silence_once_call.drain.exit
  Scenario: Connections go silent under orders while a drain is at exit
    When silence_once_call strikes the fleet while an agent's drain is at exit
    Then no order of the fleet ran twice or was told a falsehood
    And the agent of the fleet ends with 0
