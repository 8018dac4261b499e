Feature: The platform's lagging list against what peers see

  Scenario Outline: What list, sessions and view say together
    Given a target that is <state>
    And the platform lists its instance as <listed>
    And its agent is <heard>
    Then the target becomes <becomes>

    Examples:
      | state   | listed  | heard  | becomes |
      | live    | live    | heard  | live    |
      | live    | live    | silent | live    |
      | live    | leaving | heard  | leaving |
      | live    | leaving | silent | leaving |
      | live    | absent  | heard  | live    |
      | live    | absent  | silent | gone    |
      | live    | no list | silent | live    |
      | leaving | live    | heard  | leaving |
      | leaving | live    | silent | leaving |
      | leaving | leaving | silent | leaving |
      | leaving | absent  | silent | gone    |
      | leaving | no list | heard  | leaving |
      | leaving | no list | silent | gone    |
      | gone    | live    | heard  | gone    |
      | gone    | leaving | heard  | gone    |

  Scenario: An old entry does not make a target leave that came back
    Given a target that is live
    And the platform lists its instance as leaving
    And it came back 2000 ms ago
    Then the target becomes live

  Scenario: An entry that stays makes a target leave that came back
    Given a target that is live
    And the platform lists its instance as leaving
    And it came back 20000 ms ago
    Then the target becomes leaving

  Scenario: A lagging list does not bring a deregistered target back
    Given a control state machine
    When target "t1" registers as "i1"
    And target "t1" deregisters as "i1"
    And target "t1" registers as "i1"
    Then target "t1" is leaving as "i1"

  Scenario: A new incarnation comes back
    Given a control state machine
    When target "t1" registers as "i1"
    And target "t1" deregisters as "i1"
    And target "t1" registers as "i2"
    Then target "t1" is live as "i2"
    And the return of target "t1" is remembered

  Scenario: An agent that was frozen takes nothing from its successor
    Given a control state machine
    When target "t1" registers as "i1"
    And target "t1" registers as "i2"
    And the state machine is restored from its snapshot
    And target "t1" registers as "i1"
    Then target "t1" is live as "i2"

  Scenario: A late word of the incarnation before changes nothing
    Given a control state machine
    When target "t1" registers as "i1"
    And target "t1" registers as "i2"
    And target "t1" deregisters as "i1"
    Then target "t1" is live as "i2"

  Scenario: A target held for gone while it was cut off registers again
    Given a control state machine
    When target "t1" registers as "i1"
    And target "t1" is marked gone as "i1"
    And target "t1" registers as "i1"
    Then target "t1" is live as "i1"

  Scenario: A target that left and is gone stays gone
    Given a control state machine
    When target "t1" registers as "i1"
    And target "t1" deregisters as "i1"
    And target "t1" is marked gone as "i1"
    And target "t1" registers as "i1"
    Then target "t1" is gone as "i1"

  Scenario: Registering unchanged makes no new view
    Given a control state machine
    When target "t1" registers as "i1"
    And target "t1" registers as "i1"
    Then the view revision of the state machine is 1

  Scenario: Silence takes time and a majority that answers
    Given a membership watcher without a list, and a leaving target "t1"
    When the watcher checks, hearing nobody
    Then the watcher has marked nothing
    When 6000 ms pass with too few control instances answering
    And the watcher checks, hearing nobody
    Then the watcher has marked nothing
    When 6000 ms pass and the watcher checks, hearing nobody
    Then the watcher has marked "t1" as gone
