Feature: Nested prefix levels of a prompt

  Scenario: Prompts that share outer levels share the outer keys
    Given the routing prompt "arch" of levels 5000,9000,12000 asked by "north" with 2 shared
    And the routing prompt "arch" of levels 5000,9000,13000 asked by "south" with 2 shared
    Then the routing level keys agree on the outermost 2 levels
    And both routing prompts rank by the same key

  Scenario: A level that teams do not share has a key of the team's own
    Given the routing prompt "arch" of levels 5000,9000 asked by "north" with 1 shared
    And the routing prompt "arch" of levels 5000,9000 asked by "south" with 1 shared
    Then the routing level keys agree on the outermost 1 levels

  Scenario: Levels that nobody declared belong to the team
    Given the routing prompt "arch" without levels asked by "north"
    And the routing prompt "arch" without levels asked by "south"
    Then the routing level keys agree on the outermost 0 levels

  Scenario Outline: Level ends that do not fit are refused
    Then routing level ends <ends> of a prompt of 100 characters are refused

    Examples:
      | ends    |
      | 10,10   |
      | 50,20   |
      | 50,101  |
