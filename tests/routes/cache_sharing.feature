Feature: What an isolated team left in shared caches is used by nobody

  # KV cache of a team that became isolated was used for other teams' prompts.
  # A star isolates a team, ! takes its key, and =x is a key that team x had.
  @promise.no_foreign_cache
  Scenario Outline: The tables <tables> lead to cache generation <generation>
    Given a control state machine without a route table
    When the tables <tables> take effect in turn
    Then the cache generation in force is <generation>
    And a peer that applies the changes has the same generation
    And a state machine restored from its snapshot keeps it with the next table

    Examples:
      | tables                | generation |
      | a b / a* b            | 1          |
      | a b / a b c*          | 0          |
      | a* b / a b            | 0          |
      | a b / a* b / a b / a* b | 2        |
      | a b / a* b*           | 1          |
      | a b / a* b / a* b*    | 2          |
      | a b / b / a* b        | 1          |
      | a b / b / b / b / a* b | 1         |
      | a* b / b / a* b       | 0          |
      | a b / c*=a b          | 1          |
      | a b / b / c*=a b      | 1          |
      | a b c* / a! b c*=a    | 0          |
      | a / - / a*            | 1          |
      | a / a* / - / a        | 1          |
      | a! a* / a! a* / a! a* b | 0      |
      | a / a! a* / a! a*     | 1          |

  # Instances of two releases reached two states from the same commands.
  Scenario: Commands of a release without generations change none
    Given a control state machine without a route table
    When the tables a b / a* b take effect by commands of an earlier release
    Then the cache generation in force is 0

  # What teams left before the history was kept is not known.
  @promise.no_foreign_cache
  Scenario: The first table with a history gives up what isolated teams left
    Given a control state machine without a route table
    When the tables a b / a* b take effect by commands of an earlier release
    And the tables a* b / a* b c take effect in turn
    Then the cache generation in force is 1

  @promise.no_foreign_cache
  Scenario: A table without a generation takes a peer back to none
    Given a control state machine without a route table
    When the tables a b / a* b take effect in turn
    And a table of an earlier release reaches a peer
    Then the peer stays at cache generation 1

  Scenario: The history of removed teams is bounded
    Given a control state machine without a route table
    When 20100 teams are removed at once
    Then the cache generation in force is 1
