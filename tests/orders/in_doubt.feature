Feature: Claimed orders whose outcome was not reported

  Background:
    Given a leader that settles orders by inquiries to agents

  Scenario: An order that the agent never received is released
    Given the agent answers "never_received"
    When the sweep runs on a claim that is 6000 ms old
    Then the inquired order is released
    And the key can be claimed again

  Scenario: An order that the agent finished gets the agent's answer
    Given the agent finished the order with "paid"
    When the sweep runs on a claim that is 6000 ms old
    Then the inquired order holds the answer "paid"

  Scenario: An order that is still running stays claimed
    Given the agent answers "running"
    When the sweep runs on a claim that is 6000 ms old
    Then the inquired order is claimed

  Scenario: An order whose outcome the agent doesn't know becomes unknown
    Given the agent answers "unknown"
    When the sweep runs on a claim that is 6000 ms old
    Then the inquired order is unknown
    And the unknown order is counted

  Scenario: An order whose answer the agent dropped becomes unknown
    Given the agent finished the order but dropped the answer
    When the sweep runs on a claim that is 6000 ms old
    Then the inquired order is unknown

  Scenario: An order whose agent was restarted becomes unknown
    Given the agent is gone
    When the sweep runs on a claim that is 6000 ms old
    Then the inquired order is unknown

  Scenario: A silent agent is asked again before the order becomes unknown
    Given the agent is silent
    When the sweep runs on a claim that is 6000 ms old
    Then the inquired order is claimed
    When 200000 ms pass and the sweep runs
    Then the inquired order is unknown

  Scenario: A late answer of a silent agent settles an unknown order
    Given the agent is silent
    When the sweep runs on a claim that is 200000 ms old
    Then the inquired order is unknown
    Given the agent finished the order with "paid"
    When 40000 ms pass and the sweep runs
    Then the inquired order holds the answer "paid"

  Scenario: An order becomes unknown at once if its silent agent is listed as gone
    Given the agent is silent and gone from the fleet
    When the sweep runs on a claim that is 6000 ms old
    Then the inquired order is unknown
    Given the agent finished the order with "paid"
    When 40000 ms pass and the sweep runs
    Then the inquired order holds the answer "paid"

  Scenario: The sweep sends no inquiry about a young claim
    Given the agent answers "never_received"
    When the sweep runs on a claim that is 1000 ms old
    Then the inquired order is claimed
    And the agent got 0 inquiries

  Scenario: A caller's look-up settles a young claim
    Given the agent answers "never_received"
    When a caller looks up a claim that is 1000 ms old
    Then the inquired order is released

  Scenario: A look-up does not wait for an agent that does not answer
    When callers look up a claim whose agent does not answer at all
    Then the inquired order is claimed
    And the agent got 1 inquiries

  Scenario: The sweep backs off between inquiries
    Given the agent answers "running"
    When the sweep runs 5 times on a claim that is 6000 ms old
    Then the agent got 1 inquiries

  Scenario: An order becomes unknown at once if inquiries are disabled
    Given the agent answers "never_received"
    And inquiries to agents are disabled
    When the sweep runs on a claim that is 6000 ms old
    Then the inquired order is unknown
    And the agent got 0 inquiries

  Scenario: A ledger that can't be changed leaves the order as it is
    Given the agent answers "never_received"
    And the ledger has no quorum
    When the sweep runs on a claim that is 6000 ms old
    Then the inquired order is claimed
