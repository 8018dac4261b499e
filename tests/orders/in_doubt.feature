Feature: Claims that nobody reports the outcome of

  Background:
    Given claims in doubt at a leader

  Scenario: An order that the agent never received is released
    Given the asked agent says "never_received"
    When the sweep runs on a claim that is 6000 ms old
    Then the doubtful order is released
    And the key can be claimed again

  Scenario: An order that the agent finished gets its answer
    Given the asked agent finished it with "paid"
    When the sweep runs on a claim that is 6000 ms old
    Then the doubtful order holds the answer "paid"

  Scenario: An order that still runs is left alone
    Given the asked agent says "running"
    When the sweep runs on a claim that is 6000 ms old
    Then the doubtful order is claimed

  Scenario: An order that the agent can't tell of is unknown
    Given the asked agent says "unknown"
    When the sweep runs on a claim that is 6000 ms old
    Then the doubtful order is unknown
    And the unknown order is counted

  Scenario: An order whose answer the agent dropped is unknown
    Given the asked agent finished it but dropped the answer
    When the sweep runs on a claim that is 6000 ms old
    Then the doubtful order is unknown

  Scenario: An order whose agent was restarted is unknown
    Given the asked agent is gone
    When the sweep runs on a claim that is 6000 ms old
    Then the doubtful order is unknown

  Scenario: A silent agent is asked again before the order is unknown
    Given the asked agent is silent
    When the sweep runs on a claim that is 6000 ms old
    Then the doubtful order is claimed
    When 200000 ms pass and the sweep runs
    Then the doubtful order is unknown

  Scenario: A silent agent that speaks again settles what had become unknown
    Given the asked agent is silent
    When the sweep runs on a claim that is 200000 ms old
    Then the doubtful order is unknown
    Given the asked agent finished it with "paid"
    When 40000 ms pass and the sweep runs
    Then the doubtful order holds the answer "paid"

  Scenario: A silent agent that the fleet has as gone is not waited for
    Given the asked agent is silent and gone from the fleet
    When the sweep runs on a claim that is 6000 ms old
    Then the doubtful order is unknown
    Given the asked agent finished it with "paid"
    When 40000 ms pass and the sweep runs
    Then the doubtful order holds the answer "paid"

  Scenario: A young claim is not asked for by the sweep
    Given the asked agent says "never_received"
    When the sweep runs on a claim that is 1000 ms old
    Then the doubtful order is claimed
    And the asked agent was called 0 times

  Scenario: A caller's look-up settles a young claim
    Given the asked agent says "never_received"
    When a caller looks up a claim that is 1000 ms old
    Then the doubtful order is released

  Scenario: A look-up does not wait for an agent that does not answer
    When callers look up a claim whose agent does not answer at all
    Then the doubtful order is claimed
    And the asked agent was called 1 times

  Scenario: The sweep backs off
    Given the asked agent says "running"
    When the sweep runs 5 times on a claim that is 6000 ms old
    Then the asked agent was called 1 times

  Scenario: Without asking back the order is unknown
    Given the asked agent says "never_received"
    And agents are not asked back for orders
    When the sweep runs on a claim that is 6000 ms old
    Then the doubtful order is unknown
    And the asked agent was called 0 times

  Scenario: A ledger that can't be changed leaves the order as it is
    Given the asked agent says "never_received"
    And the doubtful ledger has no quorum
    When the sweep runs on a claim that is 6000 ms old
    Then the doubtful order is claimed
