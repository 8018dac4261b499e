Feature: The block index follows the cache of one engine incarnation

  Background:
    Given an index synced with incarnation "i1" up to event 10 with block "aa"

  Scenario: Events are applied in order
    When event 11 stores "bb"
    And event 12 evicts "aa"
    Then the index contains "bb"

  Scenario: A gap invalidates the index
    When event 12 stores "bb"
    Then the index is out of sync and empty

  Scenario: A tick that reveals a lost event invalidates the index
    When a tick comes after event 11
    Then the index is out of sync and empty

  Scenario: A tick after the last known event changes nothing
    When a tick comes after event 10
    Then the index contains "aa"

  Scenario: Events that the listing already reflects are ignored
    When event 10 evicts "aa"
    Then the index contains "aa"

  Scenario: A new incarnation invalidates the index
    When incarnation "i2" sends event 11 that stores "bb"
    Then the index is out of sync and empty

  Scenario: New weights clear the index
    When event 11 clears the cache for weights "2"
    Then the index contains ""
    When event 12 stores "bb" for weights "1"
    Then the index contains ""

  Scenario: The synchronizer lists the blocks again after a gap
    Given a source whose events 11 and 13 store "bb" and "cc"
    When the synchronizer reads the source until it listed the blocks 2 times
    Then the first listing was followed by a gap
