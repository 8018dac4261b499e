Feature: The fault-injecting proxy

  Background:
    Given a fault proxy before an echoing target

  Scenario: Bytes pass both ways
    When caller "a" of the fault proxy sends "one"
    Then caller "a" of the fault proxy reads "one"

  Scenario: A cut towards the target leaves the other way open
    Given caller "a" of the fault proxy has exchanged a message
    When the fault proxy cuts the way to the target
    And caller "a" of the fault proxy sends "lost?"
    Then the fault proxy holds back 5 bytes
    And the target's message "news" reaches caller "a"
    And the target has not received "lost?"
    When the fault proxy heals
    Then caller "a" of the fault proxy reads "lost?"

  Scenario: A cut towards the caller leaves the other way open
    Given caller "a" of the fault proxy has exchanged a message
    When the fault proxy cuts the way to the caller
    And caller "a" of the fault proxy sends "heard"
    Then the target receives "heard"
    And the fault proxy holds back 5 bytes
    And caller "a" of the fault proxy has nothing to read
    When the fault proxy heals
    Then caller "a" of the fault proxy reads "heard"

  Scenario: Only the connections open now go silent
    Given caller "a" of the fault proxy has exchanged a message
    When the fault proxy silences the open connections
    And caller "a" of the fault proxy sends "hello"
    Then the fault proxy swallows 5 bytes
    And caller "a" of the fault proxy has nothing to read
    And the target has not received "hello"
    When caller "b" of the fault proxy sends "two"
    Then caller "b" of the fault proxy reads "two"

  Scenario: New connections are reset while open ones work
    Given caller "a" of the fault proxy has exchanged a message
    When the fault proxy refuses new connections
    Then caller "b" of the fault proxy is reset
    When caller "a" of the fault proxy sends "more"
    Then caller "a" of the fault proxy reads "more"

  Scenario: All open connections are closed
    Given caller "a" of the fault proxy has exchanged a message
    When the fault proxy closes all connections
    Then caller "a" of the fault proxy is reset
    When caller "b" of the fault proxy sends "two"
    Then caller "b" of the fault proxy reads "two"

  Scenario: Delayed bytes arrive in order
    When the fault proxy delays by 20 ms
    And caller "a" of the fault proxy sends "one"
    And caller "a" of the fault proxy sends "two"
    Then caller "a" of the fault proxy reads "onetwo"

  Scenario: Bytes trickle a few at a time
    Given caller "a" of the fault proxy has exchanged a message
    When the fault proxy hands on 2 bytes at a time
    And caller "a" of the fault proxy sends "trickled"
    Then the target has not received "trickled"
    And the target receives "trickled"
