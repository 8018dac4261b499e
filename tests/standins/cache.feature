Feature: The engine stand-in's prefix cache

  Scenario: A repeated prefix is found again
    Given a stand-in cache of 10 blocks
    When the stand-in cache stores "a b c" under salt "s"
    Then the stand-in cache finds 2 pieces of "a b x" under salt "s"

  Scenario: Another salt shares nothing
    Given a stand-in cache of 10 blocks
    When the stand-in cache stores "a b c" under salt "s"
    Then the stand-in cache finds 0 pieces of "a b c" under salt "t"

  Scenario: A change of salt shares the outer pieces only
    Given a stand-in cache of 10 blocks
    When the stand-in cache stores "a b c" under salts "shared shared s"
    Then the stand-in cache finds 2 pieces of "a b c" under salts "shared shared t"

  Scenario: The least recently used leaf is evicted before its parent
    Given a stand-in cache of 3 blocks
    When the stand-in cache stores "a b" under salt "s"
    And the stand-in cache stores "a c" under salt "s"
    And the stand-in cache stores "a d" under salt "s"
    Then the stand-in cache finds 1 pieces of "a b" under salt "s"
    And the stand-in cache finds 2 pieces of "a c" under salt "s"
    And the stand-in cache event kinds are "stored stored stored stored evicted"

  Scenario: A chain longer than the cache keeps its outer part
    Given a stand-in cache of 2 blocks
    When the stand-in cache stores "a b c d" under salt "s"
    Then the stand-in cache finds 2 pieces of "a b c d" under salt "s"

  Scenario: Other weights empty the cache
    Given a stand-in cache of 10 blocks
    When the stand-in cache stores "a b" under salt "s"
    And the stand-in cache is cleared for weights "2"
    Then the stand-in cache finds 0 pieces of "a b" under salt "s"
    And the stand-in cache event kinds are "stored stored cleared"

  Scenario: Lost events leave a gap that the heartbeat shows
    Given a stand-in cache of 100 blocks
    And the stand-in cache events are lost at a rate of 0.5 by seed 3
    When the stand-in cache stores "a b c d e f g h" under salt "s"
    Then some stand-in cache events are missing
    And the stand-in cache heartbeat carries seq 8

  Scenario: Events are held back for their lag
    Given a stand-in cache of 10 blocks
    And the stand-in cache events lag by 100 ms
    When the stand-in cache stores "a b" under salt "s"
    Then 0 stand-in cache events are due
    And the stand-in cache heartbeat carries seq 0
    When 100 ms pass for the stand-in cache
    Then 2 stand-in cache events are due
    And the stand-in cache heartbeat carries seq 2
