Feature: The state of targets by the platform's list and agents' sessions

  Scenario Outline: The new state follows from list, sessions and current state
    Given a target that is <state>
    And the platform lists its instance as <listed>
    And its agent is <contact>
    Then the target becomes <becomes>

    Examples:
      | state   | listed  | contact   | becomes |
      | live    | live    | connected | live    |
      | live    | live    | silent    | live    |
      | live    | leaving | connected | leaving |
      | live    | leaving | silent    | leaving |
      | live    | absent  | connected | live    |
      | live    | absent  | silent    | gone    |
      | live    | no list | silent    | live    |
      | leaving | live    | connected | leaving |
      | leaving | live    | silent    | leaving |
      | leaving | leaving | silent    | leaving |
      | leaving | absent  | silent    | gone    |
      | leaving | no list | connected | leaving |
      | leaving | no list | silent    | gone    |
      | gone    | live    | connected | gone    |
      | gone    | leaving | connected | gone    |

  Scenario: An old list entry does not make a returned target leave
    Given a target that is live
    And the platform lists its instance as leaving
    And it returned to live 2000 ms ago
    Then the target becomes live

  Scenario: A list entry that stays makes a returned target leave
    Given a target that is live
    And the platform lists its instance as leaving
    And it returned to live 20000 ms ago
    Then the target becomes leaving

  Scenario: A deregistered target does not return with the same incarnation
    Given a control state machine
    When target "t1" registers as "i1"
    And target "t1" deregisters as "i1"
    And target "t1" registers as "i1"
    Then target "t1" is leaving as "i1"

  Scenario: A target returns with a new incarnation
    Given a control state machine
    When target "t1" registers as "i1"
    And target "t1" deregisters as "i1"
    And target "t1" registers as "i2"
    Then target "t1" is live as "i2"
    And the return of target "t1" is remembered

  Scenario: An agent that was frozen does not replace its successor
    Given a control state machine
    When target "t1" registers as "i1"
    And target "t1" registers as "i2"
    And the state machine is restored from its snapshot
    And target "t1" registers as "i1"
    Then target "t1" is live as "i2"

  Scenario: A late deregistration of the previous incarnation has no effect
    Given a control state machine
    When target "t1" registers as "i1"
    And target "t1" registers as "i2"
    And target "t1" deregisters as "i1"
    Then target "t1" is live as "i2"

  Scenario: A target that was marked gone while unreachable registers again
    Given a control state machine
    When target "t1" registers as "i1"
    And target "t1" is marked gone as "i1"
    And target "t1" registers as "i1"
    Then target "t1" is live as "i1"

  Scenario: A target that deregistered and is gone stays gone
    Given a control state machine
    When target "t1" registers as "i1"
    And target "t1" deregisters as "i1"
    And target "t1" is marked gone as "i1"
    And target "t1" registers as "i1"
    Then target "t1" is gone as "i1"

  Scenario: An unchanged registration makes no new view revision
    Given a control state machine
    When target "t1" registers as "i1"
    And target "t1" registers as "i1"
    Then the view revision of the state machine is 1

  Scenario: An agent is silent only after some time with answers of a majority
    Given a membership watcher without a list, and a leaving target "t1"
    When the watcher checks, and no agent has a session
    Then the watcher has marked nothing
    When 6000 ms pass with too few control instances answering
    And the watcher checks, and no agent has a session
    Then the watcher has marked nothing
    When 6000 ms pass and the watcher checks, and no agent has a session
    Then the watcher has marked "t1" as gone
