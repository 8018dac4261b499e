Feature: The state that control instances agree on

  Background:
    Given a control state machine

  Scenario: Of two changes with equal numbers one wins
    When operator "ada" sends change "a" setting limits.max_running to 4, expecting revision 0
    And operator "bob" sends change "b" setting limits.max_running to 5, expecting revision 0
    Then change "a" was accepted as config revision 1
    And change "b" lost against revision 1 of "ada", change "a"
    And limits.max_running is 4 in the state machine

  Scenario: The loser learns who made the revision that it expected to make
    When operator "ada" sends change "a" setting limits.max_running to 4, expecting revision 0
    And operator "eve" sends change "c" setting limits.max_running to 6, expecting revision 1
    And operator "bob" sends change "b" setting limits.max_running to 5, expecting revision 0
    Then change "b" lost against revision 1 of "ada", change "a"

  Scenario: A change that expects a revision of the future is refused
    When operator "ada" sends change "a" setting limits.max_running to 4, expecting revision 7
    Then change "a" was refused
    And the config revision of the state machine is 0

  Scenario: A resend gets its first outcome, also after a snapshot
    When operator "ada" sends change "a" setting limits.max_running to 4, expecting revision 0
    And operator "bob" sends change "b" setting limits.max_running to 5, expecting revision 0
    And operator "eve" sends change "c" setting limits.max_running to 6, expecting revision 1
    And the state machine is restored from its snapshot
    And operator "ada" sends change "a" setting limits.max_running to 4, expecting revision 0
    And operator "bob" sends change "b" setting limits.max_running to 5, expecting revision 0
    Then change "a" was accepted as config revision 1
    And change "b" lost against revision 1 of "ada", change "a"
    And both last outcomes are marked as resent
    And limits.max_running is 6 in the state machine

  Scenario: A change id is not taken for another change
    When operator "ada" sends change "a" setting limits.max_running to 4, expecting revision 0
    And operator "ada" sends change "a" setting limits.max_running to 5, expecting revision 1
    Then the last outcome has a finding on "change_id"
    And limits.max_running is 4 in the state machine

  Scenario: All findings are reported together
    When a change with no reason, no operator and unknown option "limits.nope" is sent
    Then the last outcome has findings on "operator,reason,option"
    And the config revision of the state machine is 0

  Scenario Outline: A bad value is refused
    When operator "ada" sends change "a" setting <option> to <value>, expecting revision 0
    Then the last outcome has a finding on "value"

    Examples:
      | option              | value   |
      | limits.max_running  | 0       |
      | limits.max_running  | "four"  |
      | limits.max_running  | true    |
      | retry.budget_ratio  | 2.5     |
      | routing.policy      | "chaos" |

  Scenario: A scope that an option does not have is refused
    When an exception of limits.team_share for target "t1" is sent
    Then the last outcome has a finding on "scope"

  Scenario: An exception replaces the one of equal scope and option
    When exceptions of limits.team_share for team "alpha" with 2.0 and 3.0 are sent
    Then the state machine holds one exception, with value 3.0

  Scenario: A key names one team only
    When teams "alpha" and "beta" are put with the same key
    Then the last outcome has a finding on "keys"

  Scenario: Bytes that are no command change nothing
    When bytes that are no command are applied
    Then they are refused and the snapshot is as before

  Scenario: Outcomes are kept for the newest changes only
    When 30 changes are sent to a history that keeps 10 outcomes
    Then the history holds 10 outcomes and 30 entries

  Scenario: Equal commands make equal states
    Then any commands leave two machines, one restored on the way, with equal snapshots
