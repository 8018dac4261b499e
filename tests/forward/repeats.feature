Feature: The kind of a route tells whether a request may run again

  # Orders on a route with is_resumable ran twice when an answer was lost.
  @promise.at_most_once
  Scenario Outline: A request of kind <kind> is sent <sends> times if a target <behaviour>
    Given a direct target that <behaviour>
    And another direct target that <behaviour>
    When a request of kind "<kind>" is forwarded <resumption>
    Then the request reached targets <sends> times

    Examples:
      | kind                  | behaviour                                       | resumption     | sends |
      | once, resumable       | cuts before the answer                          | from the start | 1     |
      | once, resumable       | cuts after the head                             | from the start | 1     |
      | once, resumable       | cuts the body                                   | from the start | 1     |
      | once, resumable       | is silent                                       | from the start | 1     |
      | once, resumable       | fails                                           | from the start | 1     |
      | once, resumable       | sheds without word that the request did not run | from the start | 1     |
      | once, resumable       | sheds                                           | from the start | 2     |
      | once, resumable       | cuts before the answer                          | after event 1  | 1     |
      | once, resumable       | cuts the body                                   | after event 1  | 1     |
      | once, resumable       | fails                                           | after event 1  | 1     |
      | idempotent, resumable | cuts before the answer                          | from the start | 2     |
      | idempotent, resumable | fails                                           | after event 1  | 2     |
      | stream                | cuts before the answer                          | from the start | 1     |
      | stream                | cuts inside an event                            | after event 1  | 1     |
      | stream                | fails                                           | from the start | 1     |
      | resumable stream      | cuts before the answer                          | from the start | 2     |
      | resumable stream      | cuts inside an event                            | from the start | 2     |

  # Requests that are no streams were refused for the version of a stream.
  Scenario Outline: A request of kind <kind> is answered whatever event it names
    Given a direct target that answers
    When a request of kind "<kind>" is forwarded after event 1
    Then the answer is 200
    And the request reached targets 1 times

    Examples:
      | kind                  |
      | once, resumable       |
      | idempotent, resumable |
