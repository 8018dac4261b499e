Feature: An entry compares what teams ask of all targets

  Scenario: No team is over its share while all get what they ask for
    Given the requests that one entry sees
    When team "a" sends 40 requests and teams "b c d" 4 each in 2000 ms
    And targets tell that 0.7 of them is asked for
    Then team "a" asks for at most 0.0 of its fair share

  Scenario: A team that floods a busy fleet is over its share, others are not
    Given the requests that one entry sees
    When team "a" sends 40 requests and teams "b c d" 4 each in 2000 ms
    And targets tell that 1.6 of them is asked for
    Then team "a" asks for at least 1.5 of its fair share
    And team "b" asks for at most 0.9 of its fair share

  Scenario: The part of the traffic that an entry sees does not matter
    Given the requests that one entry sees
    When team "a" sends 400 requests and teams "b c d" 40 each in 2000 ms
    And targets tell that 1.6 of them is asked for
    Then team "a" asks for at least 1.5 of its fair share
    And team "b" asks for at most 0.9 of its fair share

  Scenario: An entry that sees few requests judges by a longer time
    Given the requests that one entry sees
    When team "a" sends 40 requests and teams "b c d" 4 each in 20000 ms
    And targets tell that 1.6 of them is asked for
    Then team "a" asks for at least 1.5 of its fair share
    And team "b" asks for at most 0.9 of its fair share

  Scenario: Long answers count for more than short ones
    Given the requests that one entry sees
    And requests of team "a" keep slots busy for 5000 ms
    When team "a" sends 20 requests and teams "b c d" 20 each in 2000 ms
    And targets tell that 1.6 of them is asked for
    Then team "a" asks for at least 1.5 of its fair share
    And team "b" asks for at most 0.9 of its fair share

  Scenario: The work of many teams is remembered within bounds
    Given the requests that one entry sees
    When 30000 teams were answered
    Then the work of at most 20000 teams is remembered
