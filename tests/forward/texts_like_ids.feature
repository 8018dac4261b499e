Feature: Text of a sound stream that looks like an id is passed on

  # Streams of sound targets were broken off at lists of ids.
  @promise.every_event_once
  @promise.whole
  Scenario Outline: A stream of kind <kind> is whole with <text> in event <number>
    Given a direct target that streams
    And its event <number> has the text <text>
    When 4 requests of kind "<kind>" are forwarded
    Then the last answer is complete and has all events of the target

    Examples:
      | kind             | number | text                       |
      | stream           | 2      | - id: 2 / kind: pen        |
      | stream           | 2      | - id: 2 / - id: 3          |
      | stream           | 2      | see id: 2 / see id: 3      |
      | stream           | 2      | id: 2 / kind: pen          |
      | stream           | 4      | - id: 4 / kind: pen        |
      | stream           | 4      | - id: 5 / kind: pen        |
      | stream           | 4      | uid: 6 / - id: 900 / end   |
      | stream           | 3      | id: 1 / piece 1            |
      | stream           | 4      | id: 1 / piece 1            |
      | stream           | 1      | see id: 5 / end            |
      | resumable stream | 2      | - id: 2 / kind: pen        |
      | resumable stream | 4      | - id: 5 / kind: pen        |

  # Guards against trust that a target gets by ends in doubt.
  @promise.every_event_once
  Scenario: A joined event is not passed on the next time either
    Given a direct target that spoils its stream
    And the stream has an event joined with a later one, out of order, is framed by chunks and then ends
    When 3 requests of kind "stream" are forwarded
    Then each of the answers has the events 1, 2, 3 and is incomplete

  # Each target's run was broken off at the same sound text.
  @promise.every_event_once
  @promise.whole
  Scenario Outline: What a second target repeats of <text> is passed on
    Given a direct target that streams
    And another direct target that streams
    And its event 4 has the text <text>
    When a request of kind "resumable stream" is forwarded
    Then the answer is complete and has all events of the target
    And the request reached targets 2 times

    Examples:
      | text                     |
      | - id: 5 / kind: pen      |
      | pen id: 4 / pen and ink  |

  # Guards against trust in a target that has sent what is no event.
  @promise.every_event_once
  Scenario: After noise, a target's last event is not passed on unproven
    Given a direct target that spoils its stream
    And the stream has noise before the next event, is framed by chunks and then ends
    When two requests are forwarded, and then event 4 is joined with event 5
    Then the caller has the events 1, 2, 3 in order
    And the answer is incomplete

  # Guards against the loss of events that were held when the entry stopped.
  @promise.whole
  Scenario: An entry that stops passes a held event on once it is proven
    Given a direct target that streams
    And the target sends an event every 100 ms
    And its event 2 has the text see id: 4 / closed
    When the entry starts to drain during a stream
    Then the rest of the stream has the text see id: 4 and is complete

  # Guards against events that are passed on unproven as the time is up.
  @promise.every_event_once
  Scenario: Nothing of a held event is passed on at the deadline
    Given a direct target that streams
    And the target sends an event every 900 ms
    And its event 2 has the text see id: 4 / closed
    When a request of kind "stream" is forwarded
    Then the caller has the events 1 in order
    And the answer is incomplete
