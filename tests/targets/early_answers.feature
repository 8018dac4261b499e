Feature: Agents and other callers of targets believe no answer that can't be one

  @promise.whole
  Scenario Outline: The driver of <kind> gets no answer of one that <behaviour>
    Given a driver of <kind> that <behaviour>
    When the driver sends 4000000 bytes
    Then the driver reports a broken answer

    Examples:
      | kind    | behaviour                                                                    |
      | service | begins a short answer with no length early and resets its connection         |
      | service | begins a short answer with no length early and closes its connection         |
      | service | begins a long answer with no length early and resets its connection at once  |
      | service | begins a long answer with a length early and resets its connection           |
      | service | begins a long answer with chunks early and closes its connection             |
      | service | begins a short answer with no length early and ends its side and resets its connection |
      | engine  | begins a short answer with no length early and resets its connection         |
      | engine  | begins a short answer with no length early and ends its side and resets its connection |
      | service | answers with status 000                                                      |
      | service | answers with status 999                                                      |
      | engine  | answers with status 000                                                      |
      | engine  | answers with status 999                                                      |

  Scenario Outline: A <call> believes no status that HTTP does not have
    Then each <call> that is answered with a status that HTTP does not have fails

    Examples:
      | call          |
      | report        |
      | order         |
      | store call    |
      | target list   |
      | load report   |
      | health check  |
      | block listing |
