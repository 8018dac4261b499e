Feature: The index holds what one incarnation of the engine has cached

  Background:
    Given an index in step with incarnation "i1" up to event 10 holding "aa"

  Scenario: Events are followed in order
    When event 11 stores "bb"
    And event 12 evicts "aa"
    Then the index holds "bb"

  Scenario: A gap drops everything
    When event 12 stores "bb"
    Then the index counts as empty

  Scenario: A tick that shows a lost event drops everything
    When a tick comes after event 11
    Then the index counts as empty

  Scenario: A tick that shows nothing new changes nothing
    When a tick comes after event 10
    Then the index holds "aa"

  Scenario: Events that the listing included are passed over
    When event 10 evicts "aa"
    Then the index holds "aa"

  Scenario: A new incarnation drops everything
    When incarnation "i2" sends event 11 that stores "bb"
    Then the index counts as empty

  Scenario: New weights clear the index
    When event 11 clears the cache for weights "2"
    Then the index holds ""
    When event 12 stores "bb" for weights "1"
    Then the index holds ""

  Scenario: The feed lists the blocks anew after a gap
    Given a source whose events 11 and 13 store "bb" and "cc"
    When the feed follows the source until it listed 2 times
    Then the first listing was followed by a gap
