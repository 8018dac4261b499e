Feature: A proposal succeeds only when a quorum has synced it

  Background:
    Given a group of members a, b, c
    And 3 commands were proposed

  Scenario: Entries in the memory of followers do not count
    Given neither follower can sync
    When the command "one" is proposed in the background
    And both followers hold it in memory and the leader has synced it
    Then the proposal is not answered
    When one follower can sync again
    Then the proposal is answered

  Scenario: The leader's own sync need not be the first
    Given the leader cannot sync
    When the command "one" is proposed in the background
    Then the proposal is answered

  Scenario: An entry of an earlier term is committed only with one of the new term
    Given both followers have synced a command but cannot tell the leader
    When the leader stops while the others can no longer sync
    And a new leader knows that a quorum has synced the command
    Then the command is not committed
    When the members can sync again
    Then the command is committed

  Scenario: Slow disks of followers do not expire the lease of the leader
    Given neither follower can sync
    When the command "one" is proposed in the background
    And both followers hold it in memory and the leader has synced it
    Then the leader keeps its lease for 3 times its length
    When one follower can sync again
    Then the proposal is answered

  Scenario: A follower acknowledges no entry before its term is on disk
    Given a partitioned follower that cannot write its hard state
    When a leader of a newer term contacts it
    Then it replies without acknowledging any entry
    When it can write its hard state again and that leader repeats its request
    Then it acknowledges the entries that it holds

  Scenario: A follower writes no entry before its term is on disk
    Given a partitioned follower that cannot write its hard state
    When a leader of a newer term sends it an entry
    Then it has written no entry of that term
    When it can write its hard state again and that leader repeats its request
    Then it acknowledges the entries that it holds

  Scenario: Without a quorum the outcome is unknown and later proposals are refused
    When a partitioned leader accepts a proposal
    Then the proposal ends with an unknown outcome
    And later proposals are refused as not appended

  Scenario: A follower with a failed disk stops while the others continue
    When a follower's disk fails
    And 20 commands are proposed
    Then the member with the failed disk reports the failure
    And the command "one" is still accepted

  Scenario: A leader with a failed disk stops while the others continue
    When the leader's disk fails
    And the command "one" is proposed to another leader
    Then the other members have all acknowledged commands
    And the member with the failed disk reports the failure

  Scenario Outline: A <role> with a full disk stays up and catches up later
    When the disk of the <role> is full
    And 20 commands are proposed
    Then the member with the full disk has synced none of them and has not failed
    When that disk has free space again
    Then the member with that disk has synced all of them

    Examples:
      | role     |
      | leader   |
      | follower |

  Scenario: A proposal beyond the limit of pending ones is refused at once
    When more proposals are pending than the settings allow
    Then the last proposal is refused as not appended

  Scenario Outline: An acknowledged command is never lost or applied twice
    When members are partitioned, restarted and frozen at random with seed <seed>
    Then every member has each acknowledged command once, in the same order
    And no two members ever led the same term or held a lease together

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
