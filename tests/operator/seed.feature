Feature: Seed files

  Background:
    Given operator endpoints "c1" and "c2"

  Scenario: The second run of a seed does not repeat any change
    Given a seed file with 2 defaults, 1 exception and 1 team
    When the seed is loaded
    Then the operator command exits with 0
    And standard output contains "4 made, 0 made before"
    When the seed is loaded again with its changes in the history
    Then the operator command exits with 0
    And standard output contains "0 made, 4 made before"

  Scenario: A seed change that conflicts with a concurrent change is sent with a new id
    Given a seed file with 1 defaults, 0 exception and 0 team
    And the operator endpoint "c1" rejects one change as a conflict
    When the seed is loaded
    Then the operator command exits with 0
    And the operator endpoint "c1" received seed changes with 2 different ids

  Scenario: All findings of a seed file are reported at once
    Given the seed file
      """
      [seed]
      name = s
      operator = ada
      [defaults]
      limits.max_running = 0
      limits.other = 1
      [exception a]
      scope = zone:b
      option = limits.team_share
      value = 1
      [exception b]
      scope = model:b
      option = limits.team_share
      value = x
      reason = r
      [team c]
      key_digests = 12
      [more]
      """
    When the seed is loaded
    Then the operator command exits with 1
    And standard error names these lines of the seed file: 1, 5, 6, 7, 12, 14, 17, 18
    And no operator endpoint received anything

  Scenario: The example files pass the check
    When the example files are checked
    Then the operator command exits with 0
    And the example files hold 8 teams in each deployment
