Feature: The HTTP client never retries a request

  Scenario Outline: A response with <kind> fails the exchange
    Given a web server that responds with <kind>
    When the web client fetches from it
    Then the web exchange fails as broken
    And the web server received 1 request

    Examples:
      | kind                        |
      | a truncated body            |
      | a truncated chunked body    |
      | a malformed chunk length    |
      | no bytes at all             |
      | a truncated header          |
      | bytes that are not HTTP     |
      | too many headers            |
      | a body over the size limit  |
      | a pause in the body         |
      | a body of unknown length that is reset |

  Scenario Outline: A complete response with <kind> is read
    Given a web server that responds with <kind>
    When the web client fetches from it
    Then the web response is "hello world"

    Examples:
      | kind                          |
      | a body of known length        |
      | a chunked body                |
      | an interim response before it |
      | a body of unknown length      |

  Scenario: A refused connection fails before the request is sent
    When the web client fetches from a port without a listener
    Then the web exchange fails before sending

  Scenario Outline: A line break in <place> is rejected before anything is sent
    Given a web server that responds with a chunked body
    When the web client sends a line break in <place>
    Then the web client rejects the request as malformed
    And the web server received 0 request

    Examples:
      | place          |
      | a header value |
      | a header name  |
      | the path       |

  Scenario: The parts of a streamed body are returned as they arrive
    Given a web server that streams a part and waits for the reader
    When the web client reads the streamed parts
    Then the web client got the first part before the last was sent

  # An order that was given up arrived once the link or the server was back.
  Scenario: The rest of a request that was given up does not arrive
    Given an HTTP server that reads nothing for 600 ms
    When the web client gives up a request of 16 MB to it after 200 ms
    Then the server gets less than the request, and a reset
