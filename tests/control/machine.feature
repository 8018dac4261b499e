Feature: The replicated state machine of the control instances

  Background:
    Given a control state machine

  Scenario: Of two changes that expect the same revision the first is accepted
    When operator "ada" sends change "a" setting limits.max_running to 4, expecting revision 0
    And operator "bob" sends change "b" setting limits.max_running to 5, expecting revision 0
    Then change "a" was accepted as config revision 1
    And change "b" conflicts with revision 1 of "ada", change "a"
    And limits.max_running is 4 in the state machine

  Scenario: A conflict names the change that made the expected next revision
    When operator "ada" sends change "a" setting limits.max_running to 4, expecting revision 0
    And operator "eve" sends change "c" setting limits.max_running to 6, expecting revision 1
    And operator "bob" sends change "b" setting limits.max_running to 5, expecting revision 0
    Then change "b" conflicts with revision 1 of "ada", change "a"

  Scenario: A change that expects a future revision is refused
    When operator "ada" sends change "a" setting limits.max_running to 4, expecting revision 7
    Then change "a" was refused
    And the config revision of the state machine is 0

  Scenario: A resend gets its recorded outcome, even after a restore
    When operator "ada" sends change "a" setting limits.max_running to 4, expecting revision 0
    And operator "bob" sends change "b" setting limits.max_running to 5, expecting revision 0
    And operator "eve" sends change "c" setting limits.max_running to 6, expecting revision 1
    And the state machine is restored from its snapshot
    And operator "ada" sends change "a" setting limits.max_running to 4, expecting revision 0
    And operator "bob" sends change "b" setting limits.max_running to 5, expecting revision 0
    Then change "a" was accepted as config revision 1
    And change "b" conflicts with revision 1 of "ada", change "a"
    And both last outcomes are marked as resent
    And limits.max_running is 6 in the state machine

  Scenario: A change id can't be reused for a different change
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

  Scenario: A scope that an option does not support is refused
    When an exception of limits.team_share for target "t1" is sent
    Then the last outcome has a finding on "scope"

  Scenario: An exception replaces the one of equal scope and option
    When exceptions of limits.team_share for team "alpha" with 2.0 and 3.0 are sent
    Then the state machine holds one exception, with value 3.0

  Scenario: A key belongs to one team only
    When teams "alpha" and "beta" are put with the same key
    Then the last outcome has a finding on "keys"

  Scenario: Bytes that are not a command change nothing
    When bytes that are not a command are applied
    Then they are refused and the snapshot is as before

  Scenario: Only the outcomes of the newest changes are recorded
    When 30 changes are sent to a history that keeps 10 outcomes
    Then the history holds 10 outcomes and 30 entries

  Scenario: Equal commands lead to equal states
    Then any commands lead two machines, one of them restored meanwhile, to equal snapshots
