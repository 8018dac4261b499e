Feature: A proposal is answered only when it is synced on a quorum

  Background:
    Given a group of members a, b, c
    And 3 commands were proposed

  Scenario: Entries in the memory of followers do not count
    Given both followers cannot sync
    When the command "one" is proposed in the background
    And both followers hold it in memory and the leader has synced it
    Then the proposal is not answered
    When one follower can sync again
    Then the proposal is answered

  Scenario: The leader's own sync need not be the first
    Given the leader cannot sync
    When the command "one" is proposed in the background
    Then the proposal is answered

  Scenario: An entry of an older term is committed only with a newer one
    Given both followers have synced a command that the leader cannot know of
    When the leader is lost while the others cannot sync any more
    And a new leader knows that a quorum has synced the command
    Then the command is not committed
    When the members can sync again
    Then the command is committed

  Scenario: Slow disks of the followers do not end the lease
    Given both followers cannot sync
    When the command "one" is proposed in the background
    And both followers hold it in memory and the leader has synced it
    Then the leader keeps its lease for 3 times its length
    When one follower can sync again
    Then the proposal is answered

  Scenario: A follower promises nothing before its term is durable
    Given a follower cut off that cannot write its hard state
    When it hears a leader of a newer term
    Then it answers without promising any entry
    When it can write its hard state and hears that leader again
    Then it promises the entries that it holds

  Scenario: A follower writes no entry before its term is durable
    Given a follower cut off that cannot write its hard state
    When it hears a leader of a newer term with an entry
    Then it has written no entry of that term
    When it can write its hard state and hears that leader again
    Then it promises the entries that it holds

  Scenario: Without a quorum the outcome is unknown, then nothing is taken
    When the leader is cut off and takes a proposal
    Then the proposal ends with an unknown outcome
    And later proposals are refused as not appended

  Scenario: A follower whose disk fails stops, and the others go on
    When a follower's disk fails
    And 20 commands are proposed
    Then the member with the failed disk reports why
    And the command "one" is still taken

  Scenario: A leader whose disk fails stops, and the others go on
    When the leader's disk fails
    And the command "one" is proposed to another leader
    Then the other members have all commands answered
    And the member with the failed disk reports why

  Scenario Outline: A <role> whose disk is full stays and takes part again
    When the disk of the <role> has no room
    And 20 commands are proposed
    Then the member on the full disk has synced none of them and is well
    When that disk has room again
    Then the member on that disk has synced all of them

    Examples:
      | role     |
      | leader   |
      | follower |

  Scenario: A proposer that waits too long is refused at once
    When more proposals wait than the settings allow
    Then the last proposal is refused as not appended

  Scenario Outline: What was answered is never lost or doubled
    When members are cut off, restarted and frozen at random from seed <seed>
    Then all answered commands stand once in the same order on every member
    And no two members ever led the same term or held a lease together

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
