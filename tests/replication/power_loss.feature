Feature: Loss of power of all members, and of a disk at the same time

  Scenario Outline: Commands survive if all lose power and one its disk too
    Given a group of members a, b, c whose syncs are recorded
    When <count> commands are acknowledged and all members lose power at once
    And the <role> has lost its disk too and all start again
    Then every acknowledged command is there once

    Examples:
      | count | role     |
      | 1     | leader   |
      | 1     | follower |
      | 40    | leader   |
      | 40    | follower |
