Feature: Updating direct engines to named weights

  Scenario: Every engine loads the weights, at most a third at one time
    Given 6 engines on weights 1
    When weights 2 are named and 10 s pass
    Then every engine has weights 2
    And at most 2 engines loaded at one time
    And every engine was held before its order and is not held any more

  Scenario: Unreachable engines do not delay the others
    Given 6 engines on weights 1
    And 2 of them can't be reached
    When weights 2 are named and 10 s pass
    Then every engine that can be reached has weights 2
    And no engine that can't be reached is held

  # A report of weights that nobody had named counted as an update, and the
  # engine was left on its old weights.
  Scenario: An engine that once reports weights that nobody named is updated
    Given 6 engines on weights 1
    And the first report of each engine says that it has weights 9
    When weights 2 are named and 10 s pass
    Then every engine has weights 2
    And every engine loaded once

  Scenario: An update waits for an engine that reports that it is loading
    Given 4 engines on weights 1
    And each load takes 6000 ms
    When weights 2 are named and 20 s pass
    Then every engine has weights 2
    And no load counted as failed

  @promise.carried_out_once
  Scenario: An order without an answer is sent again and carried out once
    Given 4 engines on weights 1
    And the first order to each engine gets no answer and is lost
    When weights 2 are named and 10 s pass
    Then every engine has weights 2
    And every engine loaded once
    And the mean time out of service is at most 2000 ms

  @promise.carried_out_once
  Scenario: An order that is carried out late causes no second load
    Given 4 engines on weights 1
    And the first order to each engine gets no answer and is carried out late
    When weights 2 are named and 10 s pass
    Then every engine has weights 2
    And every engine loaded once

  Scenario: An engine that answers no order serves requests meanwhile
    Given 4 engines on weights 1
    And one engine never answers an order
    When weights 2 are named and 10 s pass
    Then the other engines have weights 2
    And that engine was held for at most 70 in 100 of the time

  # An engine that refused each fencing number stayed held, and each refusal
  # stopped the orders to the other engines.
  Scenario: An engine that refuses every fencing number serves requests
    Given 6 engines on weights 1
    And one engine refuses every fencing number
    When weights 2 are named and 10 s pass
    Then the other engines have weights 2
    And that engine was held for at most 70 in 100 of the time
    And at most 3 fencing numbers were acquired

  Scenario: A new holder releases an updated engine that its predecessor held
    Given 4 engines on weights 1
    And another instance gave orders before
    And that instance held an engine that now has weights 2
    When weights 2 are named and 2 s pass
    Then no order was given
    And that engine was held for at most 20 in 100 of the time

  Scenario: Engines load weights that were named during the updates
    Given 6 engines on weights 1
    When weights 2 are named, weights 3 after 1 s, and 10 s pass
    Then every engine has weights 3

  @promise.one_holder
  Scenario: A new holder waits until the lease of its predecessor has expired
    Given 4 engines on weights 1
    And another instance gave orders before
    When weights 2 are named and 2 s pass
    Then no order was given
    When 10 s more pass
    Then every engine has weights 2

  # A holder that was elected twice ordered within its predecessor's lease.
  @promise.one_holder
  Scenario Outline: A holder that <event> waits for its predecessor's lease
    Given 4 engines on weights 1
    And another instance gave orders before
    And the instance <event>
    When weights 2 are named and 2 s pass
    Then no order was given
    When 10 s more pass
    Then every engine has weights 2

    Examples:
      | event                               |
      | is elected again after 600 ms       |
      | was the holder, and then started    |

  @promise.one_holder
  Scenario: A holder that is elected again begins no second wait
    Given 4 engines on weights 1
    And another instance gave orders before
    And the instance is elected again after 2000 ms
    When weights 2 are named and 4 s pass
    Then an order was given

  @promise.one_holder
  Scenario: An instance that is not the leader gives no orders
    Given 4 engines on weights 1
    And the instance is not the leader
    When weights 2 are named and 2 s pass
    Then no order was given

  Scenario: A holder that was fenced acquires a new fencing number
    Given 4 engines on weights 1
    And an engine has seen a higher fencing number
    When weights 2 are named and 15 s pass
    Then every engine has weights 2
    And no fencing number was used again after it was refused

  # Weights that crash what loads them were given to one engine after the other.
  Scenario: Weights that crash the engines that load them reach few engines
    Given 6 engines on weights 1
    And weights 2 crash each engine that loads them, which is back after 3000 ms
    When weights 2 are named and 30 s pass
    Then loads crashed engines at most 8 times
    And 4 or more engines ran for 90 in 100 of the time

  Scenario: Weights that crash no engine are loaded everywhere despite accidents
    Given 6 engines on weights 1
    And 2 engines crash once as they load weights 2 and are back after 3000 ms
    When weights 2 are named and 10 s pass
    Then every engine has weights 2

  Scenario: Other weights than those that crash engines are loaded at once
    Given 6 engines on weights 1
    And weights 2 crash each engine that loads them, which is back after 3000 ms
    When weights 2 are named, weights 3 after 1 s, and 10 s pass
    Then every engine has weights 3
