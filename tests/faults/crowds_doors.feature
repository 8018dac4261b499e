# Runs apart from other features, as it measures the memory of processes.
@alone
Feature: Crowds of misbehaving clients at other doors do not end an entry

  @promise.crowds
  Scenario Outline: A crowd sends <form> to the <door>
    Given a fleet whose limits are lowered for crowds
    When a crowd sends "<form>" to the <door>
    Then ordinary requests are answered
    And no process has ended or exceeded its bounds

    Examples: Without a key or a route
      | form                      | door                          |
      | bodies short of their end | callers' door without a key   |
      | chunked bodies            | callers' door without a key   |
      | many short fields         | callers' door without a key   |
      | requests ahead            | callers' door without a key   |
      | bodies short of their end | callers' door without a route |
      | chunked bodies            | callers' door without a route |
      | many short fields         | callers' door without a route |
      | requests ahead            | callers' door without a route |

    Examples: At the door that says ready
      | form                      | door       |
      | bodies short of their end | ready door |
      | many short fields         | ready door |
      | requests ahead            | ready door |
      | heads without end         | ready door |
      | half bodies               | ready door |
      | nothing                   | ready door |
