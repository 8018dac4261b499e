Feature: Arbitrary file contents are loaded or reported as damaged

  Background:
    Given an open data folder
    When 6 store entries are appended in term 2
    And a snapshot at entry 2 of term 2 is saved
    And the data folder is closed

  Scenario Outline: Arbitrary bytes in a file
    Then any bytes in the <file> leave the data unchanged or are reported

    Examples:
      | file         |
      | log segment  |
      | hard state   |
      | snapshot     |
      | disk id      |

  Scenario Outline: Arbitrary content in a frame with a valid checksum
    Then any frame in the <file> is loaded or reported as damaged

    Examples:
      | file         |
      | log segment  |
      | hard state   |
      | snapshot     |
      | disk id      |

  Scenario: Files with unexpected names
    Then files with unexpected names do not change the loaded data
