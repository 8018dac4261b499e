Feature: Losses and silence during a config change

  Background:
    Given a config fleet in full health

  @cell.disk_loss.config.propose @cell.disk_loss.config.commit
  @cell.disk_loss.config.spread @cell.disk_loss.config.in_force
  Scenario Outline: The leader loses its disk and is replaced
    When a change is held at <step>
    And the leader is struck by a lost disk
    Then the change is made once and in force everywhere for good

    Examples:
      | step     |
      | propose  |
      | commit   |
      | spread   |
      | in_force |

  @cell.repair_then_loss.config.spread @cell.repair_then_loss.config.in_force
  Scenario Outline: The leader is lost right after a repair
    When a change is held at <step>
    And the leader is struck by a loss right after a repair
    Then the change is made once and in force everywhere for good

    Examples:
      | step     |
      | spread   |
      | in_force |

  @cell.silence_once_call.config.propose @cell.silence_once_call.config.commit
  Scenario Outline: The connection that a change is forwarded on goes silent
    When the forwarding connection goes silent at <step>
    Then the change is made once and in force everywhere for good

    Examples:
      | step    |
      | propose |
      | commit  |

  @cell.operator_race.config.in_force
  Scenario: Operators race and resend while a change is in force
    When a change is held at in_force
    And two operators race for the next change, and the last is sent again
    Then the change is made once and in force everywhere for good
