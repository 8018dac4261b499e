Feature: Weights are rolled out, whatever goes silent or is cut off

  Background:
    Given a fleet of engines that load weights

  @cell.control_partition.weights.send @cell.control_partition.weights.load
  @cell.control_partition.weights.serve
  Scenario Outline: The leader is cut off at the <step> of weights
    When new weights are held at their <step>
    And the leader that gave the weights order is cut off
    And still newer weights are wanted
    And the weights go on
    Then every engine comes to serve the weights wanted last
    And at most two loaded at once, under fencing numbers that grow
    And requests that follow meet them
    And requests were answered whole meanwhile

    Examples:
      | step  |
      | send  |
      | load  |
      | serve |

  @cell.process_freeze.weights.send @cell.process_freeze.weights.load
  @cell.process_freeze.weights.serve
  Scenario Outline: The leader freezes at the <step> of weights
    When new weights are held at their <step>
    And the leader that gave the weights order freezes
    And still newer weights are wanted
    And the weights go on
    Then every engine comes to serve the weights wanted last
    And at most two loaded at once, under fencing numbers that grow
    And requests that follow meet them
    And requests were answered whole meanwhile

    Examples:
      | step  |
      | send  |
      | load  |
      | serve |

  @cell.silent_connection.weights.send @cell.silent_connection.weights.load
  @cell.silent_connection.weights.serve
  Scenario Outline: Connections go silent at the <step> of weights
    When new weights are held at their <step>
    And the connections to all agents and engines go silent
    And the weights go on
    Then every engine comes to serve the weights wanted last
    And at most two loaded at once, under fencing numbers that grow
    And requests that follow meet them
    And requests were answered whole meanwhile

    Examples:
      | step  |
      | send  |
      | load  |
      | serve |
