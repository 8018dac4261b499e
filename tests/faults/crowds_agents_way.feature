# Runs apart from other features, as it measures the memory of processes.
@alone
Feature: Crowds of misbehaving clients do not end an entry that sends to agents

  @promise.crowds
  Scenario Outline: A crowd sends <form> to <path>
    Given an entry of the agents' way whose limits are lowered for crowds
    When a crowd sends "<form>" to its path "<path>"
    Then it says that it lives, and has not exceeded its bounds

    Examples:
      | form                      | path                 |
      | bodies short of their end | /v1/chat/completions |
      | chunks far over the limit | /v1/chat/completions |
      | many short fields         | /v1/chat/completions |
      | requests ahead            | /v1/chat/completions |
      | requests ahead            | /none                |
      | half bodies               | /v1/chat/completions |
      | nothing                   | /health/ready        |
