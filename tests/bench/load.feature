Feature: Traces, the load tool and the figures

  Scenario Outline: A trace follows from its seed
    Given the bench trace "<user>" of seed 1
    Then the bench trace is the same when drawn again
    And the bench trace differs from that of seed 2
    And the bench trace names 8 teams and all its call ids differ
    And each bench call's prefix levels end at full pieces of its prompt

    Examples:
      | user    |
      | mavazi  |
      | tahanan |

  Scenario: The hot prefix shifts
    Given the bench trace "mavazi" of seed 1
    Then the hottest archive differs between the trace's two halves

  Scenario: The best possible hit rate
    Given bench calls over the prefixes "a b a c a b"
    Then the best possible hit rate with 9 blocks is 3 of 6
    And the best possible hit rate with 2 blocks is 3 of 6
    And the best possible hit rate with 1 blocks is 2 of 6

  Scenario: Percentiles and histograms
    Then the bench percentile 0.5 of "5 1 3 2 4" is 3
    And the bench percentile 0.99 of "5 1 3 2 4" is 5
    And the bench histogram of "1 2 4 4" counts "1 1 2"

  Scenario Outline: A trace driven straight at a stand-in comes back whole
    Given a bench target for the trace "<user>"
    When the bench drives the trace
    Then every bench call is whole and none has a finding

    Examples:
      | user    |
      | mavazi  |
      | tahanan |

  Scenario: A call is sent to another entry when one is down
    Given a bench target for the trace "mavazi"
    And a bench entry that refuses connections
    When the bench drives the trace
    Then every bench call is whole and none has a finding
    And some bench calls were sent twice

  Scenario: A connection that the server closed while idle is not used again
    Given a bench server that closes each connection after its answer
    Then 3 bench exchanges one after another are answered
