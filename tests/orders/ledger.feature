Feature: The ledger of orders, which run at most once

  Background:
    Given an order ledger

  Scenario: A key is claimed once
    When request "r1" claims key "k" of team "alpha"
    And request "r2" claims key "k" of team "alpha"
    Then the claim of "r1" was granted and that of "r2" was not
    And request "r2" gets the order in state claimed of request "r1"

  Scenario: A repeated claim is not granted again
    When request "r1" claims key "k" of team "alpha"
    And request "r1" claims key "k" of team "alpha"
    Then only the first claim was granted

  Scenario: Teams do not share keys
    When request "r1" claims key "k" of team "alpha"
    And request "r2" claims key "k" of team "beta"
    Then both claims were granted with different fencing numbers

  Scenario: A resend gets the answer
    When request "r1" claims key "k" of team "alpha"
    And the order of "r1" is finished with "done"
    And request "r2" claims key "k" of team "alpha"
    Then request "r2" is not granted and gets the answer "done"

  Scenario: The same key with another body is refused
    When request "r1" claims key "k" of team "alpha"
    And the order of "r1" is finished with "done"
    And request "r2" claims key "k" of team "alpha" with another body
    Then request "r2" is refused as "key_reused"

  Scenario: A released key can be claimed again, with a higher fencing number
    When request "r1" claims key "k" of team "alpha"
    And the order of "r1" is released
    And request "r2" claims key "k" of team "alpha"
    Then both claims were granted, the second with the higher fence

  Scenario: A late outcome of an older claim is refused
    When request "r1" claims key "k" of team "alpha"
    And the order of "r1" is released
    And request "r2" claims key "k" of team "alpha"
    And the order of "r1" is finished with "late"
    Then the last command is refused as "not_found"
    And the order of "r2" is claimed

  Scenario: A finish of a released order is refused
    When request "r1" claims key "k" of team "alpha"
    And the order of "r1" is released
    And the order of "r1" is finished with "late"
    Then the last command is refused as "released"

  Scenario: A release of a finished order is refused
    When request "r1" claims key "k" of team "alpha"
    And the order of "r1" is finished with "done"
    And the order of "r1" is released
    Then the last command is refused as "finished"

  Scenario: The first outcome stands
    When request "r1" claims key "k" of team "alpha"
    And the order of "r1" is finished with "done"
    And the order of "r1" is finished with "other"
    And request "r2" claims key "k" of team "alpha"
    Then request "r2" is not granted and gets the answer "done"

  Scenario: An unknown order is never run again
    When request "r1" claims key "k" of team "alpha"
    And the order of "r1" is marked unknown
    And 400 days pass in the ledger
    And request "r2" claims key "k" of team "alpha"
    Then request "r2" gets the order in state unknown of request "r1"

  Scenario: An outcome from the holder of the claim settles an unknown order
    When request "r1" claims key "k" of team "alpha"
    And the order of "r1" is marked unknown
    And the order of "r1" is finished with "done"
    And request "r2" claims key "k" of team "alpha"
    Then request "r2" is not granted and gets the answer "done"

  Scenario Outline: An operator settles an unknown order
    When request "r1" claims key "k" of team "alpha"
    And the order of "r1" is marked unknown
    And an operator says that the order of "r1" <decision>
    Then the order of "r1" is <state>

    Examples:
      | decision | state    |
      | ran      | finished |
      | not ran  | released |

  Scenario: An operator cannot settle an order that is not unknown
    When request "r1" claims key "k" of team "alpha"
    And an operator says that the order of "r1" not ran
    Then the last command is refused as "claimed"

  Scenario: A finished order is dropped after its retention, a claimed one is not
    When request "r1" claims key "k" of team "alpha"
    And request "r2" claims key "j" of team "alpha"
    And the order of "r1" is finished with "done"
    And 2 days pass in the ledger
    Then the ledger holds only the order of "r2"
    And no answer is kept

  Scenario: Ledger time never decreases
    When request "r1" claims key "k" of team "alpha"
    And the order of "r1" is finished with "done"
    And 2 days pass in the ledger
    And the leader's clock steps back by 3 days
    And request "r2" claims key "k" of team "alpha"
    Then the order of "r2" was claimed at the highest time seen

  Scenario: A full ledger refuses new keys and keeps its orders
    Given an order ledger for 3 orders
    When request "r1" claims key "k1" of team "alpha"
    And request "r2" claims key "k2" of team "alpha"
    And request "r3" claims key "k3" of team "alpha"
    And request "r4" claims key "k4" of team "alpha"
    Then request "r4" is refused as "full"
    And the order of "r1" is claimed

  Scenario: An answer that is too large is not kept, but the order is finished
    When request "r1" claims key "k" of team "alpha"
    And the order of "r1" is finished with 2000000 bytes
    Then the order of "r1" is finished
    And no answer is kept

  Scenario: At most one claim of a key can run
    Then after any commands, at most one claim per key may have run
