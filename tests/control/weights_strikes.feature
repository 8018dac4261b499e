Feature: Weights are rolled out, whatever strikes at every step at once

  Background:
    Given a fleet of 4 engines that load weights

  @cell.control_partition.weights.fence
  Scenario: The leader is cut off at every step of weights
    When engines are held at every step of new weights
    And the leader of the weights is cut off
    And still newer weights are wanted
    And the weights go on
    Then the engines of all steps serve the weights wanted last
    And at most two loaded at once, under fencing numbers that grow
    And no engine was told to load under the same number twice
    And requests that follow meet them
    And requests were answered whole meanwhile

  @cell.partition_then_restart.weights.fence
  @cell.partition_then_restart.weights.send
  @cell.partition_then_restart.weights.load
  @cell.partition_then_restart.weights.serve
  Scenario: A cut-off leader restarts at every step of weights
    When engines are held at every step of new weights
    And the leader of the weights is cut off
    And the cut-off leader of the weights restarts
    And still newer weights are wanted
    And the weights go on
    Then the engines of all steps serve the weights wanted last
    And at most two loaded at once, under fencing numbers that grow
    And no engine was told to load under the same number twice
    And requests that follow meet them
    And requests were answered whole meanwhile

  @cell.process_freeze.weights.fence
  Scenario: The leader freezes at every step of weights and wakes too late
    When engines are held at every step of new weights
    And the leader of the weights freezes
    And still newer weights are wanted
    And the frozen leader wakes after another one leads
    And the weights go on
    Then the engines of all steps serve the weights wanted last
    And at most two loaded at once, under fencing numbers that grow
    And no engine was told to load under the same number twice
    And requests that follow meet them
    And requests were answered whole meanwhile

  @cell.silent_connection.weights.fence @cell.silent_connection.weights.send
  @cell.silence_once_call.weights.fence @cell.silence_once_call.weights.send
  @cell.silence_once_call.weights.load @cell.silence_once_call.weights.serve
  Scenario: Connections go silent under the orders of every step
    When engines are held at every step of new weights
    And an order to billing is held at its run
    And all connections between processes go silent
    And the weights go on
    Then the engines of all steps serve the weights wanted last
    And at most two loaded at once, under fencing numbers that grow
    And no engine was told to load under the same number twice
    And requests that follow meet them
    And requests were answered whole meanwhile
    And it ran at most once and every resend is told the same

  @cell.agent_crash.weights.fence
  Scenario: All agents are killed at every step of weights
    When engines are held at every step of new weights
    And the agents of the weights are killed and started again
    And the weights go on
    Then the engines of all steps serve the weights wanted last
    And at most two loaded at once, under fencing numbers that grow
    And no engine was told to load under the same number twice
    And requests that follow meet them
    And requests were answered whole meanwhile

  @cell.event_loss.weights.load @cell.event_loss.weights.serve
  Scenario: Cache events are lost at every step of weights
    Given prompts that entries know to be held by engines
    When engines are held at every step of new weights
    And the engines' cache events are lost from then on
    And the weights go on
    Then the engines of all steps serve the weights wanted last
    And at most two loaded at once, under fencing numbers that grow
    And no engine was told to load under the same number twice
    And requests that follow meet them
    And requests were answered whole meanwhile
    And what engines held under older weights is counted on no more
