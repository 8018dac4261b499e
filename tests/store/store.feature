Feature: The data folder keeps synced data and reports damaged files

  Background:
    Given an open data folder

  Scenario: Entries and hard state survive a restart
    When 20 store entries are appended in term 3
    And the hard state is saved with term 3 and vote "b@1"
    And the data folder is reopened
    Then the store holds entries 1 to 20
    And the saved hard state is term 3 and vote "b@1"

  Scenario: An interrupted write is truncated; earlier writes are kept
    When 5 store entries are appended in term 1
    And 3 store entries are appended in term 1
    Then truncating the last write at any byte leaves entries 1 to 5
    And entries can be appended after the truncation

  Scenario: A write whose sectors were never written to disk is truncated
    When 5 store entries are appended in term 1
    And 700 zero bytes are appended to the log file
    And the data folder is reopened
    Then the store holds entries 1 to 5

  Scenario Outline: Damage before the end of the log is reported with its offset
    When 5 store entries are appended in term 1
    And 5 store entries are appended in term 1
    And 5 store entries are appended in term 1
    And a byte of the <part> of write <write> is changed
    Then opening the data folder reports damage at the start of write <write>

    Examples:
      | part   | write |
      | header | 1     |
      | body   | 1     |
      | footer | 2     |
      | header | 3     |
      | body   | 3     |

  Scenario: A missing log file is reported
    When the log is written in 3 files
    And the second log file is removed
    Then opening the data folder reports damage to the third log file

  Scenario Outline: Damage to another file is reported with its path
    When the hard state is saved with term 3 and vote "b@1"
    And a snapshot at entry 4 is saved
    And the last byte of the file "<pattern>" is changed
    Then opening the data folder reports damage to "<pattern>"

    Examples:
      | pattern    |
      | hard-state |
      | snapshot-* |
      | disk-id    |

  Scenario: A log with a later term than the hard state is reported
    When the hard state is saved with term 2 and vote ""
    And 5 store entries are appended in term 2
    And the file "hard-state" is removed
    Then opening the data folder reports damage to "hard-state"

  Scenario: A conflicting suffix stays replaced after a restart
    When 10 store entries are appended in term 1
    And 3 store entries are written at index 6 in term 2
    And the data folder is reopened
    Then the store holds entries 1 to 8
    And store entry 5 is of term 1 and entry 6 of term 2

  Scenario: Compaction bounds the log files and keeps the latest entries
    When 4000 store entries are appended and compacted after every 500
    Then the log files are smaller than those of 1000 entries
    When the data folder is reopened
    Then the store ends at entry 4000
    And the store still holds entry 3501

  Scenario: Compaction keeps no more bytes than asked
    Given compaction keeps 100 bytes
    When 1000 store entries are appended and compacted after every 500
    Then the store holds at most 20 entries
    And the store ends at entry 1000

  Scenario: A log that was replaced by a snapshot stays replaced after a restart
    When 10 store entries are appended in term 1
    And a snapshot at entry 8 of term 2 replaces the log
    And 3 store entries are written at index 9 in term 2
    And the data folder is reopened
    Then the store holds entries 9 to 11

  Scenario: A log reset that a crash prevented is done on opening
    When 10 store entries are appended in term 1
    And the hard state is saved with term 2 and vote ""
    And a snapshot at entry 8 of term 2 is saved
    And the data folder is reopened
    Then the store ends at entry 8
    When 3 store entries are written at index 9 in term 2
    And the data folder is reopened
    Then the store holds entries 9 to 11

  Scenario: Entries appended during a sync share the next write
    When 100 store entries are appended one by one during one sync
    Then at most two writes are made

  Scenario: After a failed sync the log accepts no entries
    When the disk fails while store entries are appended
    Then the caller waiting for the sync gets the write error
    And later store entries are refused

  Scenario: An open data folder is locked
    Then opening the data folder a second time is refused

  Scenario: The disk id survives a restart, and an emptied folder gets a new one
    When the data folder is reopened
    Then the disk id is unchanged
    When the data folder is emptied and reopened
    Then the disk id is a new one

  Scenario: A non-empty folder without its disk id is refused
    When 5 store entries are appended in term 1
    And the file "disk-id" is removed
    Then opening the data folder reports damage to "disk-id"

  Scenario: Writes to a full disk are completed once it has space
    When 2 store entries are appended in term 1
    And the disk has no space left
    And 3 store entries are appended in the background
    And term 2 is saved with vote "b@1" in the background
    Then none of the writes is durable, and the folder reports a full disk
    When the disk has space again
    Then all writes are durable, and the folder reports no full disk
    When the data folder is reopened
    Then the store holds entries 1 to 5
    And the saved hard state is term 2 and vote "b@1"

  Scenario: A data folder on a full disk can be closed
    When 2 store entries are appended in term 1
    And the disk has no space left
    And 3 store entries are appended in the background
    And the data folder is reopened
    Then the store holds entries 1 to 2
