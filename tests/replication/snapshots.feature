Feature: Snapshots bound what a restart and a newcomer take

  Background:
    Given a group of members a, b, c with a snapshot every 1000 entries
    And 10000 commands were proposed

  Scenario: A restart replays only what follows the snapshot
    When a follower is restarted
    Then it comes to the end after applying at most 1300 commands
    And its log files hold at most 3000 entries

  Scenario: All members restart together
    When all members are restarted
    And the command "one" is proposed
    Then all members have the same log and the 10001 commands proposed

  Scenario: An empty member is given a snapshot in pieces
    When member c loses its disk for good
    And member d replaces it
    Then member d was sent a snapshot in several pieces
    And all members have the same log and the 10000 commands proposed

  Scenario: A member that lags behind the kept entries is given a snapshot
    When a follower is stopped
    And 3000 commands are proposed
    And the stopped follower is started
    Then all members have the same log and the 13000 commands proposed
