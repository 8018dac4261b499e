Feature: HTTP exchanges that never repeat a request

  Scenario Outline: An answer that is <kind> breaks the exchange
    Given a web server that answers with <kind>
    When the web client fetches from it
    Then the web exchange is broken
    And the web server received 1 request

    Examples:
      | kind                        |
      | a body cut short            |
      | a chunked body cut short    |
      | a chunk of malformed length |
      | nothing at all              |
      | half a header               |
      | no HTTP                     |
      | too many headers            |
      | a body over the bound       |
      | silence in the body         |
      | a body up to its end        |

  Scenario Outline: A whole answer <kind> is taken whole
    Given a web server that answers with <kind>
    When the web client fetches from it
    Then the web answer is "hello world"

    Examples:
      | kind                       |
      | a body of known length     |
      | a chunked body             |
      | an interim answer before it |

  Scenario: A refused connection sent nothing
    When the web client fetches from a port where nobody listens
    Then the web exchange sent nothing

  Scenario Outline: A line break in <place> is refused before anything is sent
    Given a web server that answers with a chunked body
    When the web client sends a line break in <place>
    Then the web request is refused as malformed
    And the web server received 0 request

    Examples:
      | place          |
      | a header value |
      | a header name  |
      | the path       |

  Scenario: A streamed body is handed on part by part
    Given a web server that streams a part and waits for the reader
    When the web client reads the streamed parts
    Then the web client had the first part before the last was sent
