Feature: Whatever arrives is read or refused, and ends nothing but itself

  Scenario: Any headers of a caller
    Then any request headers are read, with no number below 0, or refused

  Scenario: Any head of a target's answer
    Then any headers of an answer are read, with no number below 0

  Scenario: Any document of an operator
    Then any bytes are a route table or are refused with findings
    And any damaged route table is read or refused with findings

  Scenario: Any entry of the list
    Then any list entry is a target or is left out

  Scenario: Any bytes of a target
    Then any bytes are responses or are refused as none
    And any damaged response is read or refused as none

  Scenario: Any text that may be a number
    Then any text is read as a number of its own digits or as none

  Scenario: Any bytes of a stream
    Then any bytes are parted into events that join to the same bytes
