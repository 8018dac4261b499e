Feature: Large commands do not fill the disk with the log

  # A log of large commands grew until the disk was full, as a snapshot was due
  # by the number of entries alone.
  Scenario: A few large commands make a snapshot due
    Given a group of members a, b, c with a snapshot every 200000 bytes
    When 120 commands of 20000 bytes are proposed
    Then the log of each member has at most 1000000 bytes
    And all members have the same log and the 120 commands proposed

  Scenario: A member that lags behind the retained bytes receives a snapshot
    Given a group of members a, b, c with a snapshot every 200000 bytes
    When a follower is stopped
    And 60 commands of 20000 bytes are proposed
    And the stopped follower is started
    Then all members have the same log and the 60 commands proposed

  # The log stayed as it was until the next command, or for good on a full disk.
  Scenario: A snapshot that is due while another one waits is taken after it
    Given a group of members a, b, c with a snapshot every 200000 bytes
    When the snapshots of a follower wait while 60 commands of 20000 bytes are proposed
    Then its last snapshot has all but 15 of them
