Feature: Races during, and a loss right after, the repair of a control instance

  Background:
    Given a config fleet of which one control instance lost its disk

  @cell.repair_then_loss.repair.remove
  Scenario: Another instance is lost right after the repair
    When its repair has come to remove
    And it is reported as over and another instance is lost at once
    Then the repair ends as reported, with nothing lost

  @cell.operator_race.repair.add @cell.operator_race.repair.catch_up
  @cell.operator_race.repair.promote @cell.operator_race.repair.remove
  Scenario Outline: Operators race for repairs
    When its repair has come to <step>
    And another operator asks for it too, and a third for another repair
    Then the repair ends as reported, with nothing lost

    Examples:
      | step     |
      | add      |
      | catch_up |
      | promote  |
      | remove   |

  @cell.disk_loss.repair.add @cell.disk_loss.repair.catch_up
  @cell.disk_loss.repair.promote @cell.disk_loss.repair.remove
  Scenario Outline: The newcomer loses its disk again
    When its repair has come to <step>
    And the newcomer loses its disk again
    Then the repair ends as reported, with nothing lost

    Examples:
      | step     |
      | add      |
      | catch_up |
      | promote  |
      | remove   |

  Scenario: A repair is given up and asked for again
    When its repair has come to catch_up
    And the newcomer is gone and the repair is given up
    Then the operator is told so, twice
    When the repair is asked for again
    Then the repair ends as reported, with nothing lost
