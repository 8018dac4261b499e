Feature: Engine answers are whole or broken, never cut short in silence

  Scenario Outline: A stream that ends too soon is broken
    Given a target that streams <events> and closes the connection
    When the driver reads the answer
    Then it has <count> chunks and the answer is broken

    Examples:
      | events                        | count |
      | two events                    | 2     |
      | two events and the end mark   | 2     |
      | two events and the last event | 3     |
      | a gap after one event         | 0     |

  Scenario: A stream with its last event and the end mark is whole
    Given a target that streams all of its events and closes the connection
    When the driver reads the answer
    Then it has 3 chunks and the answer is whole

  Scenario: Events come out alike however the stream is cut
    Then any cut of a stream yields the same events

  Scenario: A body that ends too soon is broken
    Given a plain service that sends half of its body
    When the driver reads the answer
    Then it has 1 chunks and the answer is broken

  Scenario: Nothing is sent when the last check refuses
    Given a target that streams all of its events and closes the connection
    When the last check before sending refuses
    Then the target received no request

  Scenario: A refused connection is told as not sent
    Given a target that does not listen
    When the driver sends a request
    Then it is told as not sent
