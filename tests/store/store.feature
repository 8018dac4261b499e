Feature: The data folder keeps what was synced and names what is damaged

  Background:
    Given an open data folder

  Scenario: Entries and hard state outlive a restart
    When 20 store entries are appended in term 3
    And the hard state is saved with term 3 and vote "b@1"
    And the data folder is opened again
    Then the store holds entries 1 to 20
    And the saved hard state is term 3 and vote "b@1"

  Scenario: A write that broke off anywhere is cut, the ones before it stay
    When 5 store entries are appended in term 1
    And 3 store entries are appended in term 1
    Then a break at any byte of the last write leaves entries 1 to 5
    And appending goes on after the cut

  Scenario: A write whose sectors never arrived is cut
    When 5 store entries are appended in term 1
    And the log grows by 700 zero bytes
    And the data folder is opened again
    Then the store holds entries 1 to 5

  Scenario Outline: Damage before the end stops the member with its place
    When 5 store entries are appended in term 1
    And 5 store entries are appended in term 1
    And 5 store entries are appended in term 1
    And a byte of the <part> of write <write> is changed
    Then opening the data folder names the log and the start of write <write>

    Examples:
      | part   | write |
      | header | 1     |
      | body   | 1     |
      | footer | 2     |
      | header | 3     |
      | body   | 3     |

  Scenario: A missing log file stops the member
    When the log is written to 3 files
    And the second log file is removed
    Then opening the data folder names the third log file

  Scenario Outline: Damage to another file stops the member with its place
    When the hard state is saved with term 3 and vote "b@1"
    And a snapshot at entry 4 is saved
    And the last byte of the file "<pattern>" is changed
    Then opening the data folder names the file "<pattern>"

    Examples:
      | pattern    |
      | hard-state |
      | snapshot-* |
      | disk-id    |

  Scenario: A log newer than the hard state stops the member
    When the hard state is saved with term 2 and vote ""
    And 5 store entries are appended in term 2
    And the file "hard-state" is removed
    Then opening the data folder names the file "hard-state"

  Scenario: A conflicting suffix is replaced, also after a restart
    When 10 store entries are appended in term 1
    And 3 store entries are put at index 6 in term 2
    And the data folder is opened again
    Then the store holds entries 1 to 8
    And store entry 5 is of term 1 and entry 6 of term 2

  Scenario: Compaction bounds the files and keeps the tail
    When 4000 store entries are appended and compacted after every 500
    Then the log files are smaller than those of 1000 entries
    When the data folder is opened again
    Then the store ends at entry 4000
    And store entry 3501 is still held

  Scenario: A log that a snapshot replaced stays replaced
    When 10 store entries are appended in term 1
    And a snapshot at entry 8 of term 2 replaces the log
    And 3 store entries are put at index 9 in term 2
    And the data folder is opened again
    Then the store holds entries 9 to 11

  Scenario: A crash between snapshot and log reset is finished on opening
    When 10 store entries are appended in term 1
    And the hard state is saved with term 2 and vote ""
    And a snapshot at entry 8 of term 2 is saved
    And the data folder is opened again
    Then the store ends at entry 8
    When 3 store entries are put at index 9 in term 2
    And the data folder is opened again
    Then the store holds entries 9 to 11

  Scenario: Entries that wait for a sync share the next one
    When 100 store entries are appended one by one during one sync
    Then they were written at most twice

  Scenario: After a failed sync nothing more is written
    When the disk fails while store entries are appended
    Then whoever waited for the sync is told
    And later store entries are refused

  Scenario: Two processes cannot use one data folder
    Then opening the data folder once more is refused

  Scenario: The disk's identity stays, and an emptied folder gets another
    When the data folder is opened again
    Then the disk id is the same
    When the data folder is emptied and opened again
    Then the disk id is another one

  Scenario: A folder that lost only its identity is refused
    When 5 store entries are appended in term 1
    And the file "disk-id" is removed
    Then opening the data folder names the file "disk-id"

  Scenario: What a disk has no room for is written once it has
    When 2 store entries are appended in term 1
    And the disk has no room
    And 3 store entries are appended in the background
    And term 2 is saved with vote "b@1" in the background
    Then nothing of it is durable, and the folder says that the disk is full
    When the disk has room again
    Then all of it is durable, and the folder says so
    When the data folder is opened again
    Then the store holds entries 1 to 5
    And the saved hard state is term 2 and vote "b@1"

  Scenario: A data folder on a disk without room can be closed
    When 2 store entries are appended in term 1
    And the disk has no room
    And 3 store entries are appended in the background
    And the data folder is opened again
    Then the store holds entries 1 to 2
