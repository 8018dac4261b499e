Feature: Forwarding requests directly to targets

  @promise.no_foreign_cache
  Scenario: Method, path, body and other headers reach the target unchanged
    Given a direct target that answers
    When an idempotent request with a custom header is forwarded
    Then the answer is 200 with the body "whole" of target t1
    And the target got the method, path, body, header and id of the caller
    And the target got its own id, the team and the remaining time
    And the target got no key and no header that only the entry may set

  # The parser ended a request with such an offer at its headers.
  @promise.own_request
  Scenario: A request that offers an upgrade reaches the target with its body
    Given a direct target that answers
    When a request that offers an upgrade is forwarded, its body sent later
    Then the answer is 200 with the body "whole" of target t1
    And the target got one request, with the body and without the offer

  # Trailers could set headers that were read before the body.
  @promise.own_request
  Scenario: Trailers do not reach the target as headers
    Given a direct target that answers
    When a request with chunks and trailers is forwarded
    Then the answer is 200 with the body "whole" of target t1
    And the target got one request, with the body and without the trailers

  # The question mark of an empty query was lost.
  Scenario: An empty query reaches the target
    Given a direct target that answers
    When a request with an empty query is forwarded
    Then the target got the path with the question mark

  # Guards against a parser of requests that ends a body too early.
  @promise.own_request
  Scenario Outline: A body of <size> bytes whose header says 5 is not sent on
    Given a direct target that answers
    When the server hands over a body of <size> bytes whose header says 5
    Then it is refused with 400 and the target got nothing

    Examples:
      | size |
      | 0    |
      | 4    |
      | 6    |

  # The entry waited for the body that a HEAD answer's length names.
  Scenario: The answer to HEAD has a length and no body
    Given a direct target that answers
    When a HEAD request is forwarded
    Then its answer comes at once, with the length and without a body

  @promise.not_run
  @promise.at_most_once
  @promise.whole
  @promise.each_its_own
  @promise.own_target
  Scenario Outline: A target's behaviour and what its caller gets
    Given a direct target that <behaviour>
    When a request of kind "<kind>" is forwarded
    Then the answer is <status>
    And the request reached targets <sends> times

    Examples:
      | behaviour                      | kind             | status | sends |
      | sheds                          | once             | 503    | 1     |
      | sheds                          | idempotent       | 503    | 1     |
      | is another run                 | once             | 503    | 1     |
      | fails                          | once             | 500    | 1     |
      | fails                          | idempotent       | 500    | 1     |
      | cuts before the answer         | once             | 502    | 1     |
      | cuts the body                  | once             | 502    | 1     |
      | answers another request        | once             | 502    | 1     |
      | sends more than the answer     | once             | 200    | 1     |
      | switches protocols             | once             | 502    | 1     |
      | tells its load in other digits | once             | 200    | 1     |
      | ends with its connection       | once             | 200    | 1     |
      | cuts before the answer         | stream           | 502    | 1     |
      | streams                        | stream           | 200    | 1     |
      | streams                        | resumable stream | 200    | 1     |

  Scenario Outline: A second target answers if the first one fails
    Given a direct target that <behaviour>
    And another direct target that <second>
    When a request of kind "<kind>" is forwarded until both were tried
    Then the answer is 200
    And the answer is complete

    Examples:
      | behaviour               | second  | kind             |
      | sheds                   | answers | idempotent       |
      | is another run          | answers | idempotent       |
      | fails                   | answers | idempotent       |
      | cuts before the answer  | answers | idempotent       |
      | cuts the body           | answers | idempotent       |
      | answers another request | answers | idempotent       |
      | cuts before the answer  | streams | resumable stream |
      | cuts inside an event    | streams | resumable stream |

  @promise.every_event_once
  Scenario: A stream that goes on at another target has every event once
    Given a direct target that cuts inside an event
    And another direct target that streams
    When a request of kind "resumable stream" is forwarded until both were tried
    Then the caller has the events 1, 2, 3, 4 in order
    And the answer has the headers of its first target

  @promise.whole
  Scenario: A stream that can't go on does not look complete
    Given a direct target that cuts inside an event
    When a request of kind "stream" is forwarded
    Then the caller has the events 1, 2 in order
    And the answer is incomplete

  @promise.second_sends
  Scenario: No second send is made beyond the budget
    Given a direct target that fails
    And another direct target that fails
    And no allowance for second sends
    When 20 requests of kind "idempotent" are forwarded
    Then targets got at most 24 requests

  @promise.work_ends
  Scenario: A caller that leaves ends the work at the target
    Given a direct target that is silent
    When a caller disconnects 100 ms after its request
    Then the connection to the target is closed within 500 ms

  @promise.work_ends
  Scenario: A caller that does not read holds nothing beyond its patience
    Given a direct target whose stream exceeds the buffers of a connection
    When a caller with a deadline of 500 ms does not read its stream
    Then its request ends within 1500 ms
    And what it reads later is incomplete

  Scenario Outline: Requests that the entry refuses
    Given a direct target that answers
    When a request with <what> is sent
    Then the answer is <status>
    And the request reached targets 0 times

    Examples:
      | what                       | status |
      | an unknown key             | 401    |
      | no key                     | 401    |
      | an unknown path            | 404    |
      | an unknown host            | 404    |
      | no id                      | 400    |
      | a body that is too large   | 413    |
      | headers that are too large | 431    |
      | headers that are too slow  | 408    |

  @promise.withdrawn_keys
  Scenario: Settings that may be outdated serve no key
    Given a direct target that answers
    And control has not answered for too long
    When a request of kind "idempotent" is forwarded
    Then the answer is 503
    And the answer has a retry-after header
    And the request reached targets 0 times

  @promise.withdrawn_keys
  Scenario: A key that was taken away serves no more
    Given a direct target that answers
    And the key is withdrawn
    When a request of kind "idempotent" is forwarded
    Then the answer is 401

  Scenario: A request is answered by the timeout of its route
    Given a direct target that is silent
    And a route timeout of 300 ms
    When a request of kind "once" is forwarded
    Then the answer is 504
    And it came within 700 ms

  Scenario: Connections to targets are reused
    Given a direct target that answers
    When 10 requests of kind "idempotent" are forwarded
    Then the target saw 1 connection

  @promise.each_its_own
  Scenario: A connection with bytes after the answer is not used again
    Given a direct target that sends more than the answer
    When 5 requests of kind "idempotent" are forwarded
    Then the target saw 5 connections
    And every answer was "whole"

  Scenario: A request to a target that was stopped is refused
    Given a direct target that is silent
    And the target accepts no more connections
    When a request of kind "once" is forwarded
    Then the answer is 503
    And the request reached targets 0 times

  @promise.planned_stops
  Scenario Outline: Work at a target that is silent for a while stays there
    Given a direct target that is silent for a while
    And another direct target that is silent for a while
    When a request of kind "<kind>" is forwarded
    Then the answer is 200
    And the answer is complete
    And the request reached targets 1 times

    Examples:
      | kind       |
      | once       |
      | idempotent |

  Scenario: A draining entry closes kept connections after their answer
    Given a direct target that streams
    And the target sends an event every 100 ms
    When the entry starts to drain during a stream
    Then the stream is complete and its connection is closed

  # Late requests of a planned stop were passed on, and cut at its end.
  @promise.planned_stops
  Scenario Outline: A late request of a stop is passed on only if it can end in time
    Given a direct target that <behaviour>
    When the entry drains, and a request with a deadline of <deadline> ms is complete late in the grace
    Then the late request is answered <status>
    And targets got at most <count> requests

    Examples:
      | behaviour             | deadline | status | count |
      | is silent for a while | 2800     | 503    | 0     |
      | answers               | 1500     | 200    | 1     |

  @promise.planned_stops
  Scenario: A stop under load cuts nobody who got a connection
    Given a direct target that answers
    When the entry drains while callers connect and send 100 ms later
    Then every caller that got a connection has a complete answer
    And callers that came afterwards got no connection

  Scenario Outline: The log of a broken attempt tells what a crash has in common
    Given a direct target that <behaviour>
    When a request with the prompt "first:10,second:20,own:30" is logged
    Then its attempt is logged with "shared_parts=first,second"
    And its attempt is logged with "answer=<progress>"

    Examples:
      | behaviour              | progress |
      | cuts before the answer | none     |
      | cuts after the head    | head     |
      | cuts inside an event   | body     |

  # Such answers come at once, so that the address looked idle and attracted
  # all requests until the list of targets named its next run.
  @promise.own_target
  Scenario: Nothing more is sent to a run in whose place another one answers
    Given a direct target that is another run
    When 5 requests of kind "once" are forwarded
    Then the request reached targets 1 times
    And the other entries are told that the target is leaving
