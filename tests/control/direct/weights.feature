Feature: Bringing direct engines to named weights

  Scenario: Every engine gets the weights, a third of them at one time
    Given 6 engines on weights 1
    When weights 2 are named and 10 s pass
    Then every engine has weights 2
    And at most 2 engines loaded at one time
    And every engine was held before its order and is held no more

  Scenario: Engines that can't be reached do not hold the others up
    Given 6 engines on weights 1
    And 2 of them can't be reached
    When weights 2 are named and 10 s pass
    Then every engine that can be reached has weights 2
    And no engine that can't be reached is held

  Scenario: An engine that says that it loads is waited for
    Given 4 engines on weights 1
    And each load takes 6000 ms
    When weights 2 are named and 20 s pass
    Then every engine has weights 2
    And no load counted as failed

  @promise.carried_out_once
  Scenario: An order without an answer is given again and carried out once
    Given 4 engines on weights 1
    And the first order to each engine gets no answer and is lost
    When weights 2 are named and 10 s pass
    Then every engine has weights 2
    And every engine loaded once
    And an engine is taken to be out of service for at most 2000 ms

  @promise.carried_out_once
  Scenario: An order that is carried out late changes nothing
    Given 4 engines on weights 1
    And the first order to each engine gets no answer and is carried out late
    When weights 2 are named and 10 s pass
    Then every engine has weights 2
    And every engine loaded once

  Scenario: An engine that answers no order serves on meanwhile
    Given 4 engines on weights 1
    And one engine answers no order for good
    When weights 2 are named and 10 s pass
    Then the other engines have weights 2
    And that engine was held for at most 70 in 100 of the time

  Scenario: A new holder gives back what the one before held and had loaded
    Given 4 engines on weights 1
    And another instance gave orders before
    And it held an engine that has weights 2 by now
    When weights 2 are named and 2 s pass
    Then no order was given
    And that engine was held for at most 20 in 100 of the time

  Scenario: Weights named meanwhile are what the next engines get
    Given 6 engines on weights 1
    When weights 2 are named, weights 3 after 1 s, and 10 s pass
    Then every engine has weights 3

  @promise.one_holder
  Scenario: A new holder waits until orders of the one before are over
    Given 4 engines on weights 1
    And another instance gave orders before
    When weights 2 are named and 2 s pass
    Then no order was given
    When 10 s more pass
    Then every engine has weights 2

  @promise.one_holder
  Scenario: An instance that leads no more gives no orders
    Given 4 engines on weights 1
    And the instance does not lead
    When weights 2 are named and 2 s pass
    Then no order was given

  Scenario: A holder that was refused takes a new number before it goes on
    Given 4 engines on weights 1
    And an engine has seen a higher number
    When weights 2 are named and 15 s pass
    Then every engine has weights 2
    And no number was used again after it was refused
