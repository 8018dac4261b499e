Feature: The stand-ins for services, stores and the platform

  Scenario: A service records each run of a key
    Given a stand-in service
    When the stand-in service is called twice with key "k"
    Then the stand-in service has recorded 2 runs of "k"
    And the stand-in service's last answer has run number 2

  Scenario: A service that checks fencing refuses an old number
    Given a stand-in service that checks fencing numbers
    When the stand-in service is called with fence 5
    And the stand-in service is called with fence 4
    Then the stand-in service's last status is 409
    And the stand-in service's outcomes are "finished refused"

  Scenario: A store of kept blocks drops the least recently used
    Given a stand-in store of 2 kept blocks
    When the stand-in store keeps "a b c"
    Then the stand-in store holds "b c" and not "a"

  Scenario: The weight store counts loads at once
    Given a stand-in weight store
    When 3 loads run at once at the stand-in weight store
    Then the stand-in weight store has seen 3 loads at once

  Scenario Outline: The platform's list lags
    Given a stand-in platform with a lag of <lag> ms
    When the stand-in platform gets instance "i1" as "<state>"
    Then the stand-in platform lists "<listed>"

    Examples:
      | lag     | state   | listed     |
      | 0       | leaving | i1:leaving |
      | 0       | gone    |            |
      | 3600000 | live    |            |
