Feature: Nested prefix levels of a prompt

  Scenario: Prompts that share outer levels share the outer keys
    Given the routing prompt "arch" with levels 5000,9000,12000 from team "north" and 2 shared
    And the routing prompt "arch" with levels 5000,9000,13000 from team "south" and 2 shared
    Then the routing keys are equal for the outermost 2 levels
    And both routing prompts rank by the same key

  Scenario: The key of a level that is not shared depends on the team
    Given the routing prompt "arch" with levels 5000,9000 from team "north" and 1 shared
    And the routing prompt "arch" with levels 5000,9000 from team "south" and 1 shared
    Then the routing keys are equal for the outermost 1 levels

  Scenario: The keys of undeclared levels depend on the team
    Given the routing prompt "arch" without levels from team "north"
    And the routing prompt "arch" without levels from team "south"
    Then the routing keys are equal for the outermost 0 levels

  Scenario Outline: Invalid level ends are refused
    Then routing level ends <ends> of a prompt of 100 characters are refused

    Examples:
      | ends    |
      | 10,10   |
      | 50,20   |
      | 50,101  |
