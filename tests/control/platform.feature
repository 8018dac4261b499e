Feature: Control instances read the platform's list

  Scenario: A target's state follows the list and its agent's silence
    Given a platform list with "worker-t1" live
    And a group of 3 control instances that read the list
    And an entry on the inner protocol
    And a scripted agent "t1"
    When the platform lists "worker-t1" as leaving
    Then the entry sees target "t1" as leaving
    When the platform lists "worker-t1" as live
    And the agent registers again
    Then the entry sees target "t1" as leaving
    When the platform no longer lists "worker-t1"
    And the agent goes silent
    Then the entry sees target "t1" as gone

  Scenario: Invalid answers of the platform change nothing
    Given a platform list with "worker-t1" live
    And a group of 3 control instances that read the list
    And an entry on the inner protocol
    And a scripted agent "t1"
    When the platform sends invalid answers until the leader has counted one
    Then the entry sees target "t1" as live
