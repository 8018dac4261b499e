Feature: An entry compares teams' demand with their fair shares of the fleet

  Scenario: No team exceeds its share while all demand can be met
    Given an entry that tracks fair shares
    When team "a" sends 40 requests and teams "b c d" 4 each in 2000 ms
    And targets report a utilization of 0.7
    Then team "a" demands at most 0.0 times its fair share

  Scenario: A team that overloads a busy fleet exceeds its share, others do not
    Given an entry that tracks fair shares
    When team "a" sends 40 requests and teams "b c d" 4 each in 2000 ms
    And targets report a utilization of 1.6
    Then team "a" demands at least 1.5 times its fair share
    And team "b" demands at most 0.9 times its fair share

  Scenario: The ratio does not depend on the entry's part of the traffic
    Given an entry that tracks fair shares
    When team "a" sends 400 requests and teams "b c d" 40 each in 2000 ms
    And targets report a utilization of 1.6
    Then team "a" demands at least 1.5 times its fair share
    And team "b" demands at most 0.9 times its fair share

  Scenario: An entry with few requests averages over a longer time
    Given an entry that tracks fair shares
    When team "a" sends 40 requests and teams "b c d" 4 each in 20000 ms
    And targets report a utilization of 1.6
    Then team "a" demands at least 1.5 times its fair share
    And team "b" demands at most 0.9 times its fair share

  Scenario: Long answers count for more than short ones
    Given an entry that tracks fair shares
    And requests of team "a" keep slots busy for 5000 ms
    When team "a" sends 20 requests and teams "b c d" 20 each in 2000 ms
    And targets report a utilization of 1.6
    Then team "a" demands at least 1.5 times its fair share
    And team "b" demands at most 0.9 times its fair share

  Scenario: The stored work of many teams is bounded
    Given an entry that tracks fair shares
    When requests of 30000 teams were answered
    Then the work of at most 20000 teams is stored
