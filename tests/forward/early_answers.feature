Feature: Answers that come before the request is written are whole or broken

  # A target that breaks off an upload resets the connection on its next bytes.
  @promise.whole
  @promise.at_most_once
  Scenario Outline: A target that <behaviour> has not answered
    Given a direct target that <behaviour>
    When an upload of 4000000 bytes by a request of kind "<kind>" is forwarded
    Then the caller has got at most a part of the answer

    Examples:
      | behaviour                                                                      | kind       |
      | begins a short answer with no length early and resets its connection           | once       |
      | begins a short answer with no length early and resets its connection at once   | once       |
      | begins a short answer with no length early and closes its connection           | once       |
      | begins a short answer with no length early and resets its connection           | idempotent |
      | begins a short answer with a length early and resets its connection            | once       |
      | begins a short answer with chunks early and closes its connection              | once       |
      | begins a long answer with no length early and resets its connection            | once       |
      | begins a long answer with no length early and resets its connection at once    | once       |
      | begins a long answer with no length early and closes its connection            | idempotent |
      | begins a long answer with a length early and resets its connection             | once       |
      | begins a long answer with chunks early and closes its connection               | once       |
      | begins a stream with no length early and resets its connection                 | stream     |
      | begins a stream with no length early and closes its connection                 | stream     |
      | begins a stream with a length early and resets its connection                  | stream     |
      | begins a stream with chunks early and resets its connection at once            | stream     |

  # The end of the answer came before the reset, and was taken for its proof.
  @promise.whole
  Scenario Outline: A target that <behaviour> has not answered <size> bytes
    Given a direct target that <behaviour>
    When an upload of <size> bytes by a request of kind "<kind>" is forwarded
    Then the caller has got at most a part of the answer

    Examples:
      | behaviour                                                                      | kind       | size    |
      | begins a short answer with no length early and ends its side and resets its connection | once       | 4000000 |
      | begins a short answer with no length early and ends its side and resets its connection | idempotent | 4000000 |
      | begins a short answer with no length early and ends its side and resets its connection | once       | 1000000 |
      | begins a long answer with no length early and ends its side and resets its connection  | once       | 4000000 |
      | begins a stream with no length early and ends its side and resets its connection       | stream     | 4000000 |
      | begins a stream with no length early and ends its side and resets its connection       | stream     | 1000000 |

  # Guards against the loss of an answer, and against other bytes in its upload.
  @promise.whole
  Scenario Outline: A target that <behaviour> gets the rest
    Given a direct target that <behaviour>
    When an upload of 4000000 bytes by a request of kind "<kind>" is forwarded
    Then the caller has got all of the answer
    And the target got the upload and nothing else

    Examples:
      | behaviour                                                | kind       |
      | begins a short answer with no length early and reads on  | once       |
      | begins a short answer with a length early and reads on   | once       |
      | begins a short answer with a length early and reads on   | idempotent |
      | begins a long answer with no length early and reads on   | once       |
      | begins a long answer with chunks early and reads on      | once       |
      | begins a stream with chunks early and reads on           | stream     |
      | begins a stream with no length early and reads on        | stream     |
