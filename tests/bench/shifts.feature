Feature: The bench tells how deep a dip is and when it ends

  Scenario: A steady hit rate has no dip
    Given 200 shift lookups that find 8 of 10 pieces
    When the shift recovery is read at lookup 100
    Then the shift dip ends after 0 lookups

  Scenario: A dip ends with the first full window that is good again
    Given 100 shift lookups that find 10 of 10 pieces
    And 20 shift lookups that find 0 of 10 pieces
    And 100 shift lookups that find 10 of 10 pieces
    When the shift recovery is read at lookup 100
    Then the shift dip is 0.500 deep and ends after 56 lookups

  Scenario: A hit rate that stays low never comes back
    Given 100 shift lookups that find 8 of 10 pieces
    And 100 shift lookups that find 2 of 10 pieces
    When the shift recovery is read at lookup 100
    Then the shift dip does not end

  Scenario: A dip that the same calls have without the shift as well is none
    Given 100 shift lookups that find 10 of 10 pieces
    And 20 shift lookups that find 0 of 10 pieces
    And 100 shift lookups that find 10 of 10 pieces
    When the shift recovery is read at lookup 100 against the same calls
    Then the shift dip ends after 0 lookups
