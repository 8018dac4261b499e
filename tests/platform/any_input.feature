Feature: Input from outside is parsed or rejected, whatever it holds

  Scenario: Any headers of a request
    Then any request headers are parsed to no negative number or rejected

  Scenario: Any headers of a target's answer
    Then any headers of an answer are parsed to no negative number

  Scenario: Any document from an operator
    Then any bytes are parsed as a route table or rejected with findings
    And any damaged route table is parsed or rejected with findings

  Scenario: Any entry of the list of instances
    Then any list entry is parsed as a target or skipped

  Scenario: Any bytes from a target
    Then any bytes are parsed as HTTP responses or rejected
    And any damaged HTTP response is parsed or rejected

  Scenario: Any text that may be a number
    Then any text is parsed as a decimal number or rejected

  Scenario: Any bytes of an event stream
    Then any bytes are split into events that join to the same bytes
