Feature: Only the next event of a stream reaches its caller

  # Noise without an id was passed on as an event, and the stream went on.
  @promise.every_event_once
  @promise.whole
  Scenario Outline: After <spoil> in <framing>, a stream that <end> is broken
    Given a direct target that spoils its stream
    And the stream has <spoil>, is framed by <framing> and then <end>
    When a request of kind "stream" is forwarded
    Then the caller has the events 1, 2, 3 in order
    And its body holds nothing but these 3 events
    And the answer is incomplete

    Examples:
      | spoil                               | framing   | end     |
      | an event without an id              | chunks    | goes on |
      | an event without an id              | a length  | goes on |
      | an event without an id              | no length | goes on |
      | an event without an id              | chunks    | ends    |
      | an event without an id              | a length  | ends    |
      | an event without an id              | no length | ends    |
      | an event without an id              | chunks    | is cut  |
      | an event with an empty id           | chunks    | goes on |
      | noise that ends with an empty line  | chunks    | goes on |
      | noise that ends with an empty line  | a length  | goes on |
      | noise that ends with an empty line  | no length | ends    |
      | noise before the next event         | chunks    | goes on |
      | an event that jumps ahead           | chunks    | goes on |
      | an event that jumps ahead           | a length  | goes on |
      | an event that jumps ahead           | no length | ends    |
      | an event that comes twice           | chunks    | goes on |
      | an event broken off inside its data | chunks    | goes on |
      | an event broken off inside its data | a length  | goes on |
      | an event broken off inside its data | no length | ends    |
      | an event broken off and sent again  | chunks    | goes on |
      | an event broken off and sent again  | chunks    | ends    |
      | an event broken off and the first one | chunks  | goes on |
      | an event broken off and a later one | chunks    | goes on |
      | an event joined with the next, which comes again | chunks | goes on |
      | an event joined with a later one, out of order | chunks | goes on |
      | an event joined with a later one, out of order | a length | ends |
      | an event broken off inside a name   | chunks    | goes on |
      | an event broken off inside its id   | chunks    | goes on |
      | an event without data               | chunks    | goes on |

  # The end of a spoiled stream was passed on as the end of the answer.
  @promise.every_event_once
  @promise.whole
  Scenario Outline: After <spoil>, a resumable stream goes on at another target
    Given a direct target that spoils its stream
    And the stream has <spoil>, is framed by <framing> and then <end>
    And a second direct target with 8 events
    When a request of kind "resumable stream" is forwarded until both were tried
    Then the caller has the events 1, 2, 3, 4, 5, 6, 7, 8 in order
    And its body holds nothing but these 8 events
    And the answer is complete

    Examples:
      | spoil                               | framing   | end     |
      | an event without an id              | chunks    | goes on |
      | an event without an id              | a length  | goes on |
      | noise that ends with an empty line  | chunks    | ends    |
      | an event that jumps ahead           | chunks    | goes on |
      | an event broken off inside its data | chunks    | goes on |
      | an event broken off inside its data | a length  | ends    |
      | an event joined with a later one, out of order | chunks | goes on |

  # The answer has begun without a length, so its caller is told of no end.
  @promise.every_event_once
  Scenario: A spoiled stream without a length goes on in the same form
    Given a direct target that spoils its stream
    And the stream has an event without an id, is framed by no length and then ends
    And a second direct target with 8 events
    When a request of kind "resumable stream" is forwarded until both were tried
    Then the caller has the events 1, 2, 3, 4, 5, 6, 7, 8 in order
    And its body holds nothing but these 8 events
    And the answer ends with its connection

  # An answer that just ended with its connection was passed on as complete.
  @promise.whole
  Scenario Outline: An answer that ends with its connection claims no end
    Given a direct target that <behaviour>
    And the stream has nothing odd, is framed by no length and then ends
    When a request of kind "<kind>" is forwarded
    Then the answer is 200
    And the answer ends with its connection

    Examples:
      | behaviour                | kind             |
      | spoils its stream        | stream           |
      | spoils its stream        | resumable stream |
      | ends with its connection | once             |
      | ends with its connection | idempotent       |

  # A caller would take a clean end of its connection for the end of the answer.
  @promise.whole
  Scenario: The reset of a stream without a length reaches its caller
    Given a direct target that spoils its stream
    And the stream has nothing odd, is framed by no length and then is cut
    When a request of kind "stream" is forwarded
    Then the caller has the events 1, 2, 3 in order
    And the answer is incomplete

  # Guards against a claim of the entry that its last target did not make.
  @promise.whole
  Scenario: A stream in chunks that goes on without a length is not whole
    Given a direct target that spoils its stream
    And the stream has an event without an id, is framed by chunks and then ends
    And another direct target that streams until its connection ends
    When streams are forwarded until target t1 begins one and t2 goes on
    Then the caller has the events 1, 2, 3, 4 in order
    And the answer is incomplete
    And the attempts ended as "invalid, unproven"

  # A stream that a target cut off by a clean close was passed on as it was.
  @promise.every_event_once
  @promise.whole
  Scenario: A resumable stream that just closes is taken up to prove its end
    Given a direct target that spoils its stream
    And the stream has nothing odd, is framed by no length and then ends
    And a second direct target with 8 events
    When a request of kind "resumable stream" is forwarded until both were tried
    Then the caller has the events 1, 2, 3, 4, 5, 6, 7, 8 in order
    And its body holds nothing but these 8 events

  # A caller without proof of the end got 502 for its question after the rest.
  @promise.whole
  Scenario: A caller that has all events is told that there are no more
    Given a direct target that streams
    When a caller takes a stream up after event 4
    Then the answer is 200
    And the answer is complete
    And the caller has no events

  # Lines of sound data that end like an id were taken for a broken-off event.
  @promise.every_event_once
  Scenario: A sound event whose data looks like a broken-off one is passed on
    Given a direct target that streams data lines that end like ids
    When a request of kind "stream" is forwarded
    Then the caller has the events 1, 2, 3, 4 in order
    And the answer is complete
