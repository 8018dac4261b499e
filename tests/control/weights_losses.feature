Feature: Weights are rolled out, whichever control instances are lost

  Background:
    Given a fleet of 4 engines that load weights

  @cell.disk_loss.weights.fence @cell.disk_loss.weights.send
  @cell.disk_loss.weights.load @cell.disk_loss.weights.serve
  Scenario: The leader loses its disk at every step of weights
    When engines are held at every step of new weights
    And the leader of control loses its disk
    And the weights go on
    Then the engines of all steps serve the weights wanted last
    And at most two loaded at once, under fencing numbers that grow
    And no engine was told to load under the same number twice
    And requests that follow meet them
    And requests were answered whole meanwhile
    When the instance that lost its disk is replaced
    Then no change of the operators was lost

  @cell.repair_then_loss.weights.fence @cell.repair_then_loss.weights.send
  @cell.repair_then_loss.weights.load @cell.repair_then_loss.weights.serve
  Scenario: A second instance is lost after a repair at every step
    When a control instance that lost its disk was replaced
    And engines are held at every step of new weights
    And the leader of control is lost too
    And the weights go on
    Then the engines of all steps serve the weights wanted last
    And at most two loaded at once, under fencing numbers that grow
    And no engine was told to load under the same number twice
    And requests that follow meet them
    And requests were answered whole meanwhile
    And no change of the operators was lost

  @cell.restart_behind.weights.fence @cell.restart_behind.weights.send
  @cell.restart_behind.weights.load @cell.restart_behind.weights.serve
  Scenario: An instance and an entry come back at every step
    When 200 changes are made while a control instance and entry-1 are down
    And engines are held at every step of new weights
    And those that are behind start and the leader of control is lost
    And the weights go on
    Then the engines of all steps serve the weights wanted last
    And at most two loaded at once, under fencing numbers that grow
    And no engine was told to load under the same number twice
    And requests that follow meet them
    And requests were answered whole meanwhile
    And no change of the operators was lost

  @cell.fault_twice.weights.fence @cell.fault_twice.weights.send
  @cell.fault_twice.weights.load @cell.fault_twice.weights.serve
  Scenario: Two leaders in a row are killed at every step of weights
    When engines are held at every step of new weights
    And the leader of the weights is killed, and the next one too
    And the weights go on
    Then the engines of all steps serve the weights wanted last
    And at most two loaded at once, under fencing numbers that grow
    And no engine was told to load under the same number twice
    And requests that follow meet them
    And requests were answered whole meanwhile
