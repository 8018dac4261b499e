Feature: Stores of cache entries

  Scenario Outline: Stores are active while they answer
    Given the store k is active with run 7
    When the stores answer with <runs>
    Then <result>

    Examples:
      | runs   | result                                               |
      | k: 7   | no store is changed                                  |
      | k: 8   | the old run of k is removed and the new one is added |
      | k: no  | k is removed                                         |
      | none   | no store is changed                                  |
      | x: 3   | no store is changed                                  |

  Scenario: Reading the list of targets does not change stores
    Given the store k is active with run 7
    When a list without stores is read by the leader
    Then the store k is still active

  @promise.stores_by_weights
  Scenario: A store that stops answering is removed and added again later
    Given a watcher of a store that answers
    Then the store is soon active
    When the store stops answering
    Then the store is soon not active
    When the store answers with another run
    Then the store is soon active

  Scenario: A new leader removes no store before it has probed it
    Given the store k is active with run 7
    When a new leader watches a store that is slow to answer
    Then the store k is still active
