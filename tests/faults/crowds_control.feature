# Runs apart from other features, as it measures the memory of processes.
@alone
Feature: Crowds of misbehaving clients do not end a control instance

  @promise.crowds
  Scenario Outline: A crowd sends <form> to the <door>
    Given a fleet whose limits are lowered for crowds
    When a crowd sends "<form>" to the <door>
    Then ordinary requests are answered
    And no process has ended or exceeded its bounds

    Examples: At the door of the platform's operators
      | form                      | door            |
      | bodies short of their end | operators' door |
      | chunked bodies            | operators' door |
      | bodies far over the limit | operators' door |
      | chunks far over the limit | operators' door |
      | many short fields         | operators' door |
      | requests ahead            | operators' door |
      | heads without end         | operators' door |
      | half bodies               | operators' door |
      | nothing                   | operators' door |

    Examples: At the control instance's own door and at that of its metrics
      | form                      | door         |
      | bodies short of their end | control door |
      | chunks far over the limit | control door |
      | requests ahead            | control door |
      | many short fields         | metrics door |
      | requests ahead            | metrics door |

  # The frames of each connection are bounded, not those of all.
  Scenario: A crowd sends frames to the inner door
    Given a fleet whose limits are lowered for crowds
    When a crowd sends "frames short of their end" to the inner door
    Then ordinary requests are answered
    And no process has ended or exceeded its bounds
