Feature: An entry holds or refuses requests while room at targets is short

  Scenario: A request is sent at once while there is room
    When a request finds a queue of 0 ms
    Then it is sent

  Scenario: A request is held, and sent once there is room
    When a request finds a queue of 250 ms, then one of 0 ms
    Then it is sent
    And it was held for 15 ms

  Scenario: A request that is held for too long is refused
    When a request finds a queue of 250 ms each time
    Then it is refused as overloaded, with a time to return
    And it was held for 60 ms
    And nothing is held any more

  Scenario: A caller that leaves gives up its place
    When a request finds a queue of 250 ms and its caller leaves
    Then nothing is held any more

  Scenario: An entry that stops gives up the places of held requests
    When a request finds a queue of 250 ms and the entry cancels it
    Then nothing is held any more

  Scenario: A request of a starved kind is sent with the urgent ones
    Given requests of priority 2 are refused always, and those of 0 never
    When a request finds a queue of 0 ms
    Then it is sent
    And its target gets it at the most urgent level

  Scenario: A request that is not ranked is refused at once
    Given requests are not ranked
    When a request finds a queue of 250 ms each time
    Then it is refused as overloaded, with a time to return
    And it was held for 0 ms

  Scenario Outline: Requests are <ranked> with the order <order> and <allowance>
    Then requests to a table of teams with <allowance> are <ranked> under the order "<order>"

    Examples:
      | order   | allowance    | ranked     |
      | auto    | no allowance | not ranked |
      | auto    | allowances   | ranked     |
      | ranked  | no allowance | ranked     |
      | arrival | allowances   | not ranked |
