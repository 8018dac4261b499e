Feature: The platform's list as control instances read it

  Scenario: A target is marked as the list and its silence tell
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

  Scenario: A platform that answers nonsense changes nothing
    Given a platform list with "worker-t1" live
    And a group of 3 control instances that read the list
    And an entry on the inner protocol
    And a scripted agent "t1"
    When the platform answers nonsense until the leader has counted it
    Then the entry sees target "t1" as live
