Feature: The list of direct targets

  Scenario: What the list lacks is removed and what is new is put
    Given the direct targets a, b and c are held
    When the list names a, c and d
    Then b is removed and d is put

  Scenario: A list equal to what is held changes nothing
    Given the direct targets a, b and c are held
    When the list names a, b and c
    Then nothing is changed

  Scenario: A list that lags brings no older weights back
    Given the direct targets a, b and c are held
    And a was brought to weights 3 and is held for an order
    When the list names a with weights 2, b and c
    Then nothing is changed

  Scenario: A target that leaves is put as leaving
    Given the direct targets a, b and c are held
    When the list names a as leaving, b and c
    Then a is put as leaving

  @promise.own_target
  Scenario: A restart under the same id is another target
    Given the direct targets a, b and c are held
    When the list names a started anew, b and c
    Then the old run of a is removed and the new one is put
