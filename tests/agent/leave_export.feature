Feature: A leaving target exports the KV cache that others will need

  Background:
    Given an agent beside an engine of 12 blocks that exports before leaving

  Scenario Outline: What is used of a team's prompt is in the store after <leave>
    When team "a" asks 3 times for a prompt of 2 shared and 2 own pieces
    And team "b" asks 1 time for a prompt of 2 shared and 2 own pieces
    And <leave>
    Then 4 pieces are in the store

    Examples:
      | leave                        |
      | an operator drains the target |
      | the agent is asked to end    |

  Scenario: The team finds its pieces again, and no other one does
    When team "a" asks 3 times for a prompt of 2 shared and 2 own pieces
    And an operator drains the target
    Then 4 pieces are in the store
    When the target is back, empty, and another one of its model has left
    Then team "a" finds 4 pieces and team "b" finds 2 pieces

  Scenario: Nobody looks for a team's pieces while no target has left
    When team "a" asks 3 times for a prompt of 2 shared and 2 own pieces
    And an operator drains the target
    Then 4 pieces are in the store
    When the target is back, empty
    Then team "a" finds 2 pieces and team "b" finds 2 pieces

  Scenario Outline: A drain goes on where <trouble>
    When team "a" asks 3 times for a prompt of 2 shared and 2 own pieces
    And <trouble>
    And the agent is asked to end
    Then the agent ends
    And the export failed

    Examples:
      | trouble             |
      | the store is away   |
      | the store is silent |

  Scenario: A drain goes on where the engine dies in the middle of an export
    When team "a" asks 3 times for a prompt of 2 shared and 2 own pieces
    And the engine dies while the store is asked
    And the agent is asked to end
    Then the agent ends
    And the export failed

  Scenario: An export takes no longer than its option says
    Given exports of leaving targets may take 300 ms
    When team "a" asks 3 times for a prompt of 2 shared and 2 own pieces
    And the store never answers
    And the agent is asked to end
    Then the agent ends
    And the export failed

  Scenario: Nothing is exported where the option says so
    Given exports of leaving targets may take 0 ms
    When team "a" asks 3 times for a prompt of 2 shared and 2 own pieces
    And the agent is asked to end
    Then the agent ends
    And 2 pieces are in the store

  Scenario: No more is exported than the option says, the hottest first
    Given leaving targets may export 3 blocks
    When team "a" asks 3 times for a prompt of 2 shared and 2 own pieces
    And the agent is asked to end
    Then the agent ends
    And 3 pieces are in the store

  Scenario: Nothing of older weights is exported
    When team "a" asks 3 times for a prompt of 2 shared and 2 own pieces
    And the weights change while the store is asked
    And the agent is asked to end
    Then the agent ends
    And nothing was exported
