Feature: Weights are rolled out, whatever fails meanwhile

  Background:
    Given a fleet of engines that load weights

  @cell.engine_crash.weights.send @cell.engine_crash.weights.load
  @cell.engine_crash.weights.serve
  Scenario Outline: An engine is killed at the <step> of weights
    When new weights are held at their <step>
    And the engine of the weights is killed and started again
    And the weights go on
    Then every engine comes to serve the weights wanted last
    And at most two loaded at once, under fencing numbers that grow
    And requests that follow meet them
    And requests were answered whole meanwhile
    When still newer weights are wanted
    Then every engine comes to serve the weights wanted last
    And at most two loaded at once, under fencing numbers that grow

    Examples:
      | step  |
      | send  |
      | load  |
      | serve |

  @cell.agent_crash.weights.send @cell.agent_crash.weights.load
  @cell.agent_crash.weights.serve
  Scenario Outline: An agent is killed at the <step> of weights
    When new weights are held at their <step>
    And the agent of the weights is killed and started again
    And the weights go on
    Then every engine comes to serve the weights wanted last
    And at most two loaded at once, under fencing numbers that grow
    And requests that follow meet them
    And requests were answered whole meanwhile
    When still newer weights are wanted
    Then every engine comes to serve the weights wanted last
    And at most two loaded at once, under fencing numbers that grow

    Examples:
      | step  |
      | send  |
      | load  |
      | serve |

  @cell.control_loss.weights.send @cell.control_loss.weights.load
  @cell.control_loss.weights.serve
  Scenario Outline: The leader is killed at the <step> of weights
    When new weights are held at their <step>
    And the leader that gave the weights order is killed and started again
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
