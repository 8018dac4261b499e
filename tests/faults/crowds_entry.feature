# Runs apart from other features, as it measures the memory of processes.
@alone
Feature: Crowds of misbehaving clients do not end an entry

  @promise.crowds
  Scenario Outline: A crowd sends <form> to the <door>
    Given a fleet whose limits are lowered for crowds
    When a crowd sends "<form>" to the <door>
    Then ordinary requests are answered
    And no process has ended or exceeded its bounds

    Examples: With a key and a route
      | form                      | door          |
      | bodies short of their end | callers' door |
      | bodies in small pieces    | callers' door |
      | chunked bodies            | callers' door |
      | one-byte chunks           | callers' door |
      | bodies far over the limit | callers' door |
      | chunks far over the limit | callers' door |
      | many short fields         | callers' door |
      | requests ahead            | callers' door |
      | heads without end         | callers' door |
      | half heads                | callers' door |
      | half bodies               | callers' door |
      | nothing                   | callers' door |

  @promise.crowds
  Scenario: Crowds of all forms come one after the other
    Given a fleet whose limits are lowered for crowds
    When crowds of all forms come to the callers' door one after the other
    Then ordinary requests are answered
    And no process has ended or exceeded its bounds
