Feature: Stores of cache entries

  Scenario Outline: The stores in force are those that answer
    Given the store k is in force with run 7
    When the stores answer with <runs>
    Then <result>

    Examples:
      | runs   | result                                             |
      | k: 7   | no store is changed                                |
      | k: 8   | the old run of k is removed and the new one is put |
      | k: no  | k is removed                                       |
      | none   | no store is changed                                |
      | x: 3   | no store is changed                                |

  Scenario: The list of targets leaves stores alone
    Given the store k is in force with run 7
    When a list without stores is read by the leader
    Then the store k is still in force

  @promise.stores_by_weights
  Scenario: A store that stops answering is taken out, and put again later
    Given a watch over a store that answers
    Then the store is soon in force
    When the store answers no more
    Then the store is soon out of force
    When the store answers with another run
    Then the store is soon in force

  Scenario: A new leader takes no store out before it asked
    Given the store k is in force with run 7
    When a new leader watches a store that is slow to answer
    Then the store k is still in force
