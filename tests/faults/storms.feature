Feature: Faults come at any moment, together and twice
  Processes of every kind are killed, stopped, frozen, cut off, silenced and
  reset in an order drawn from a seed, while calls, orders and changes go on.

  Background:
    Given a fleet of real processes with a fault proxy on every connection

  Scenario Outline: A storm of faults drawn from seed <seed>
    When a storm drawn from seed <seed> strikes the fleet
    Then every completion of the storm is answered whole
    And no order of the storm ran twice or was told a falsehood
    And every change accepted in the storm is in force everywhere

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
