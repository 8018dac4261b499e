Feature: How long work takes at a target, as it reports

  Scenario Outline: A slow target is known after three of its reports
    Given a target that reported <before> for 5 s
    When it reports <after> 3 times within <ms> ms
    Then work is expected to take between <low> and <high>

    Examples:
      | before | after | ms  | low | high |
      | 70     | 170   | 90  | 135 | 170  |
      | 170    | 70    | 90  | 70  | 110  |
      | 100    | 400   | 90  | 280 | 400  |
      | 70     | 170   | 300 | 150 | 170  |

  Scenario: One odd report moves the estimate by a part only
    Given a target that reported 100 for 5 s
    When it reports 1000 1 times within 1 ms
    Then work is expected to take between 150 and 400
    And 2000 ms later it is expected to take between 90 and 125

  Scenario: A target that reports nothing any more counts as usual at last
    Given a target that reported 170 for 5 s
    Then 2000 ms later it is expected to take between 160 and 171
    And 300000 ms later it is expected to take between 99 and 101

  Scenario: A target without reports works at the usual pace
    Given a target that never reported its pace
    Then work is expected to take between 100 and 100

  Scenario Outline: The estimate is closer than the last report or the mean
    Given <reports> reports a second, <age> ms late, of a target that changes
    Then the estimate is off by at most 1.0 times as much as the last report
    And the estimate is off by at most <times> times as much as the mean of 8 s

    Examples:
      | reports | age | times |
      | 13      | 100 | 0.9   |
      | 13      | 0   | 0.7   |
      | 3       | 100 | 1.05  |
      | 1       | 0   | 0.75  |

  Scenario: Entries that hear of different reports prefer the same targets
    Given 24 targets, a third of which take 2.4 times as long as the others
    When 26 entries hear of different reports for 10 s
    Then they agree on the first target of 90 in 100 prefixes
    And fast targets are the first of 1.7 times as many prefixes as slow

  Scenario: Targets that report no pace are preferred as before
    Given 24 targets that report no pace
    Then the order for 1000 prefixes is that of their hashes

  Scenario: A slow answer of a target that says it is slow counts once
    Given two engines, one of which reports 170 and takes 1.7 times as long
    When each prefills 40 prompts within 8 s
    Then the estimated times for a prompt differ by 1.7, within 15 in 100
    When the slow engine reports 70 and takes 0.7 times as long
    And it answers once
    Then it is expected to be faster than the other

  Scenario: Entries learn of the reports that other entries got
    Given a registry with 3 targets
    When another entry passes on that target 2 takes 170 5 times
    Then target 2 is expected to take between 160 and 171
    And target 1 is expected to take between 100 and 100

  Scenario: What another entry sends can't break the estimate
    Given a registry with 3 targets
    When another entry passes on that target 2 takes -5 5 times
    And another entry passes on that target 2 takes 0 5 times
    Then target 2 is expected to take between 100 and 100

  Scenario: Reports of plain requests reach the other entries
    Given a registry with 3 targets
    When target 1 answers a plain request and reports 170
    Then the next exchange says that target 1 takes 170

  Scenario: 26 entries use engines by what they can do now
    Given a fleet of 24 engines whose pace differs and changes
    When 26 entries place a load by what was reported 100 ms ago
    And they place the same load without the reports
    Then 85 in 100 first tokens come within 500 ms with the reports
    And fewer do without them
    And the worst two seconds have 70 in 100 within 500 ms
    And the engine that works most does so 1.5 times as long as the mean

  Scenario: Entries do not all send to the engine that turned fast
    Given a fleet of 24 engines whose pace differs and changes
    And one engine turns 3 times as fast for 1 s
    When 26 entries place a load by what was reported 100 ms ago
    Then no request that is sent there then waits for over 0.7 s

  Scenario Outline: Plain requests go by the slots of targets and their pace
    Given 3 plain targets of 6 slots, one of which takes 1.7 times as long
    When 26 entries place <rate> plain requests a second by loads of 100 ms ago
    Then <share> in 100 plain requests are answered within 200 ms
    And no fewer are than without the reports

    Examples:
      | rate | share |
      | 110  | 99    |
      | 160  | 97    |
      | 200  | 94    |

  Scenario Outline: Streams whose gaps come near their bound go to fast engines
    Given a fast and a slow engine, and <tokens> tokens to prefill at the fast
    When a stream with gaps of <gap> ms is placed, of which <most> are on time
    Then the <engine> engine is selected

    Examples:
      | tokens | gap | most | engine |
      | 12000  | 0   | 400  | slow   |
      | 12000  | 20  | 400  | slow   |
      | 12000  | 300 | 400  | fast   |
      | 12000  | 300 | 0    | slow   |
      | 60000  | 300 | 400  | slow   |

  Scenario Outline: The bound on gaps that an operator sends
    When a table whose route has the pause <given> is read
    Then its streams are on time with gaps of up to <kept> ms

    Examples:
      | given | kept |
      | 400   | 400  |
      | 0     | 0    |
      | -5    | 0    |
      | "x"   | 0    |
      | null  | 0    |

  Scenario: An entry learns pace and gaps from the answers that it passes on
    Given a direct target that streams
    And the target sends an event every 60 ms
    And the target says that work takes 170
    When 3 streams are passed on
    Then the entry expects work to take between 160 and 171 there
    And it expects gaps of 30 to 70 ms at the usual pace
    And the next exchange passes 170 on 3 times

  Scenario Outline: A target that says <odd> is used as before
    Given a direct target that streams
    And the target says that work takes <odd>
    When 3 streams are passed on
    Then the entry expects work to take between 100 and 100 there

    Examples:
      | odd                  |
      | 0                    |
      | -1                   |
      | 99999999999999999999 |
      | nan                  |
