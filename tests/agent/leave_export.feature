Feature: A leaving target exports the KV cache that others will need

  Background:
    Given an agent beside an engine of 12 blocks that exports before leaving

  Scenario Outline: The reused pieces of a team's prompt are exported when <leave>
    When team "a" asks 3 times for a prompt of 2 shared and 2 own pieces
    And team "b" asks 1 time for a prompt of 2 shared and 2 own pieces
    And <leave>
    Then 4 pieces are in the store

    Examples:
      | leave                         |
      | an operator drains the target |
      | the agent is asked to stop    |

  Scenario: Only the team itself finds the exported pieces of its prompt
    When team "a" asks 3 times for a prompt of 2 shared and 2 own pieces
    And an operator drains the target
    Then 4 pieces are in the store
    When the target is undrained with an empty cache and another one of its model has left
    Then team "a" finds 4 pieces and team "b" finds 2 pieces

  Scenario: Pieces of a team are not looked up unless a target has left recently
    When team "a" asks 3 times for a prompt of 2 shared and 2 own pieces
    And an operator drains the target
    Then 4 pieces are in the store
    When the target is undrained with an empty cache
    Then team "a" finds 2 pieces and team "b" finds 2 pieces

  Scenario Outline: A drain continues if <fault>
    When team "a" asks 3 times for a prompt of 2 shared and 2 own pieces
    And <fault>
    And the agent is asked to stop
    Then the agent stops
    And the export failed

    Examples:
      | fault                    |
      | the store is unreachable |
      | the store is silent      |

  Scenario: A drain continues if the engine dies during an export
    When team "a" asks 3 times for a prompt of 2 shared and 2 own pieces
    And the engine dies while the store is queried
    And the agent is asked to stop
    Then the agent stops
    And the export failed

  Scenario: An export stops at the time limit
    Given exports of leaving targets may take 300 ms
    When team "a" asks 3 times for a prompt of 2 shared and 2 own pieces
    And the store never answers
    And the agent is asked to stop
    Then the agent stops
    And the export failed

  Scenario: Nothing is exported with a time limit of 0
    Given exports of leaving targets may take 0 ms
    When team "a" asks 3 times for a prompt of 2 shared and 2 own pieces
    And the agent is asked to stop
    Then the agent stops
    And 2 pieces are in the store

  Scenario: The most used pieces are exported, up to the limit of blocks
    Given leaving targets may export 3 blocks
    When team "a" asks 3 times for a prompt of 2 shared and 2 own pieces
    And the agent is asked to stop
    Then the agent stops
    And 3 pieces are in the store

  Scenario: Nothing is exported once the weights have changed
    When team "a" asks 3 times for a prompt of 2 shared and 2 own pieces
    And the weights change while the store is queried
    And the agent is asked to stop
    Then the agent stops
    And nothing was exported
