Feature: Allowances of teams that all entries share

  @promise.allowances
  Scenario Outline: Teams within their allowances are served, whatever the fleet
    Given <entries> entries and 6 teams that send <tokens> tokens a second
    When they send for 16 s
    Then no window of any team holds more than its bound
    And at least <part> of what one bucket would let pass has passed
    And no team got less than 0.9 of that

    Examples:
      | entries | tokens  | part |
      | 1       | 100000  | 0.97 |
      | 5       | 200000  | 0.97 |
      | 23      | 470000  | 0.97 |
      | 68      | 700000  | 0.97 |
      | 400     | 1500000 | 0.97 |

  @promise.allowances
  Scenario Outline: A team that sends far more gets its allowance, of all sizes
    Given <entries> entries and 6 teams that send <tokens> tokens a second
    When they send for 12 s
    And the largest team sends 7.5 times as much for 12 s
    Then no window of any team holds more than its bound
    And at least 0.95 of what one bucket would let pass has passed
    And no team got less than 0.9 of that
    And large requests pass at least half as often as all

    Examples:
      | entries | tokens  |
      | 5       | 200000  |
      | 23      | 470000  |
      | 68      | 700000  |
      | 400     | 1500000 |

  @promise.allowances
  Scenario Outline: The bound holds while <trouble>
    Given <entries> entries and 6 teams that send <tokens> tokens a second
    When they send for 10 s
    And all teams send <times> times as much
    And <trouble>
    And they send for 12 s
    Then no window of any team holds more than its bound
    And at least <part> of what one bucket would let pass has passed
    And no team got less than <each> of that

    Examples:
      | entries | tokens  | times | trouble                               | part | each |
      | 5       | 200000  | 1     | another leader begins empty           | 0.88 | 0.75 |
      | 23      | 470000  | 1     | another leader begins empty           | 0.88 | 0.75 |
      | 68      | 700000  | 1     | another leader begins empty           | 0.88 | 0.75 |
      | 400     | 1500000 | 1     | another leader begins empty           | 0.88 | 0.75 |
      | 23      | 470000  | 5     | another leader begins empty           | 0.88 | 0.75 |
      | 23      | 470000  | 5     | five leaders follow one another       | 0.75 | 0.7  |
      | 400     | 1500000 | 5     | five leaders follow one another       | 0.75 | 0.7  |
      | 23      | 470000  | 5     | all entries restart at once           | 0.97 | 0.95 |
      | 23      | 470000  | 5     | a third of the entries freeze for 4 s | 0.97 | 0.95 |
      | 68      | 700000  | 5     | a third of the entries freeze for 4 s | 0.97 | 0.95 |
      | 23      | 470000  | 1     | half of the entries are cut off       | 0.35 | 0.1  |
      | 23      | 470000  | 5     | half of the entries are cut off       | 0.93 | 0.8  |
      | 23      | 470000  | 5     | no leader is left                     | 0.03 | 0    |
      | 23      | 470000  | 5     | as many entries join                  | 0.97 | 0.95 |

  @promise.allowances
  Scenario Outline: A limit that is <changed> holds
    Given <entries> entries and 6 teams that send 470000 tokens a second
    When they send for 10 s
    And all limits are multiplied by <ratio>
    And they send for 2 s
    Then no window of any team holds more than its bound after one window
    When they send for 16 s
    Then no window of any team holds more than its bound after one window

    Examples:
      | entries | changed | ratio |
      | 5       | lowered | 0.1   |
      | 23      | lowered | 0.1   |
      | 68      | lowered | 0.3   |
      | 23      | raised  | 3     |

  @promise.allowances
  Scenario: Allowances of requests are kept as well
    Given 23 entries and 6 teams that send 120 requests a second
    When they send for 12 s
    And the largest team sends 7.5 times as much for 12 s
    Then no window of any team holds more than its bound
    And at least 0.9 of what one bucket would let pass has passed

  # They filled from the first request on, so that a burst found them empty.
  Scenario: Buckets fill from the beginning of a term
    Given 23 entries and 6 teams that send 470000 tokens a second
    When nobody sends anything for 10 s
    And the largest team sends 2 times as much for 2 s
    Then no window of any team holds more than its bound
    And at least 0.97 of what one bucket would let pass has passed

  Scenario: Teams that send seldom cost few messages
    Given 68 entries and 500 teams that send 100000 tokens a second
    When they send for 10 s
    Then there were at most 3 exchanges for each request
