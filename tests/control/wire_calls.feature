Feature: Calls of entries and agents to control instances

  Background:
    Given a group of 3 control instances
    And an entry on the inner protocol

  Scenario: An order is claimed, finished and answered to a resend
    Given a scripted agent "t1"
    When the entry claims order "k1" for "t1"
    Then the claim is granted
    When the entry finishes order "k1" with "paid"
    And the entry claims order "k1" for "t1"
    Then the claim is not granted and returns the answer "paid"
    When the entry claims order "k1" for "t1" with another body
    Then the claim is not granted, since the key was used with another body

  @cell.control_loss.order.claim @cell.control_loss.order.commit
  @cell.control_loss.order.answer
  Scenario: The leader is killed between claim, outcome and resend
    Given a scripted agent "t1"
    When the entry claims order "k1" for "t1"
    And the leader is killed
    And the entry finishes order "k1" with "paid"
    And the killed instance is started again
    And the leader is killed
    And the entry claims order "k1" for "t1"
    Then the claim is not granted and returns the answer "paid"

  @cell.entry_restart.order.claim @cell.entry_restart.order.send
  Scenario: An entry dies before it sent a claimed order
    Given an agent "t1" that answers order inquiries with "never_received"
    When the entry claims order "k1" for "t1"
    And another entry looks order "k1" up until it is released
    And the entry claims order "k1" for "t1"
    Then the claim is granted
    And the agent was asked about the first claim

  @cell.entry_restart.order.run @cell.entry_restart.order.commit
  Scenario: An entry dies before it told the outcome
    Given an agent "t1" that answers order inquiries with "done"
    When the entry claims order "k1" for "t1"
    And another entry looks order "k1" up until it is finished
    Then the order that was looked up has the agent's answer

  @cell.agent_crash.order.send @cell.agent_crash.order.run
  Scenario: An agent restarts under a claimed order
    Given an agent "t1" that answers order inquiries with "never_received"
    When the entry claims order "k1" for "t1"
    And the agent is replaced by another incarnation
    And another entry looks order "k1" up until it is unknown
    And the entry claims order "k1" for "t1"
    Then the claim is not granted and the order is unknown
    And operators find it in the list of unknown orders
    When an operator resolves it over HTTP as not run
    And the entry claims order "k1" for "t1"
    Then the claim is granted

  Scenario: An agent leaves for good under a claimed order
    Given an agent "t1" that answers order inquiries with "never_received"
    When the entry claims order "k1" for "t1"
    And the agent deregisters
    And the agent ends without notice
    And another entry looks order "k1" up until it is unknown

  Scenario: Without asking back the order becomes unknown
    Given an agent "t1" that answers order inquiries with "never_received"
    And orders.ask_back is set to false
    When the entry claims order "k1" for "t1"
    And another entry looks order "k1" up until it is unknown
    Then the agent was not asked about the order

  Scenario: A herd of agents registers in few batches
    When 940 agents register at once
    Then the entry sees 940 live targets
    And the leaders proposed them in at most 100 batches

  Scenario: Any control instance takes what an agent says of its target
    Given a scripted agent "t1"
    When the agent registers and deregisters at each control instance
    Then each instance accepted both calls, and the followers forwarded them
    And the entry sees target "t1" as leaving

  Scenario: An agent that leaves is told to all
    Given a scripted agent "t1"
    When the agent deregisters
    Then the entry sees target "t1" as leaving
    When the agent registers again
    Then the entry sees target "t1" as leaving
    When the agent is replaced by another incarnation
    Then the entry sees target "t1" as live

  Scenario: An agent that was replaced is told so
    Given a scripted agent "t1"
    When another incarnation of the agent registers while the first one runs
    Then the entry sees target "t1" as live
    And the first incarnation is refused as "wrong_incarnation"

  Scenario: Weights are loaded by at most two targets at once
    Given 6 scripted agents that load weights
    When weights.version is set to "v2" for all targets
    Then all 6 agents come to serve "v2"
    And at most 2 of them loaded at once
    And all fencing numbers differ, and they grow on each agent

  @cell.control_loss.weights.fence @cell.control_loss.weights.send
  Scenario: The leader is killed while weights are loaded
    Given 4 scripted agents that load weights
    When weights.version is set to "v2" for all targets
    And the first load has begun
    And the leader is killed
    Then all 4 agents come to serve "v2"
    And all fencing numbers differ, and they grow on each agent

  Scenario: A new leader counts the loads that the one before began
    Given 4 scripted agents that load weights in 8000 ms
    When weights.version is set to "v2" for all targets
    And the first load has begun
    And the leader is killed
    Then all 4 agents come to serve "v2"
    And at most 2 of them loaded at once
    And each of them loaded once

  Scenario: Agents that moved away left reports of loads behind
    Given 4 scripted agents that load weights
    And each of them reported a load to "c2" before it moved to "c1"
    And each of them reported a load to "c3" before it moved to "c1"
    When weights.version is set to "v2" for all targets
    Then all 4 agents come to serve "v2"
    And each of them loaded once

  Scenario: A drained target keeps its exception until it is undrained
    Given a scripted agent "t1"
    When the operator drains "t1"
    Then the entry sees "t1" as drained
    When the operator undrains "t1"
    Then the entry sees "t1" as not drained
