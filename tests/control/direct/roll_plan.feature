Feature: The plan for updating engines to newer weights

  @promise.no_old_weights
  Scenario Outline: No engine starves when weights are named faster than they load
    Given <engines> engines that are out of service for <out> ms with each load
    When weights are named every <gap> ms for 60 s
    Then no engine had outdated weights for longer than 10 s
    And never more than <most> engines were out of service

    Examples:
      | engines | out  | gap   | most |
      | 3       | 1800 | 2000  | 1    |
      | 5       | 2200 | 2000  | 2    |
      | 5       | 2200 | 4600  | 2    |
      | 5       | 2200 | 10000 | 2    |
      | 22      | 1800 | 2000  | 8    |
      | 39      | 1800 | 5000  | 14   |
      | 78      | 3000 | 5000  | 34   |
      | 400     | 1800 | 2000  | 140  |
      | 400     | 1800 | 10000 | 140  |

  @promise.no_old_weights
  Scenario Outline: Failed or hung loads do not delay the other engines
    Given <engines> engines that are out of service for 1800 ms with each load
    And every <nth>th of them <fault>
    When weights are named every 5000 ms for 60 s
    Then no working engine had outdated weights for longer than 10 s

    Examples:
      | engines | nth | fault                      |
      | 6       | 3   | fails each load            |
      | 22      | 5   | fails each load            |
      | 22      | 5   | hangs for 4 s in each load |
      | 78      | 4   | hangs for 4 s in each load |
      | 78      | 4   | fails every other load     |

  Scenario: Each engine loads only once per named version
    Given 400 engines that are out of service for 1800 ms with each load
    When weights are named every 60000 ms for 60 s
    Then each engine loaded once
