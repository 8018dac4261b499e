Feature: Slots that are reserved for other active teams and priorities

  Background:
    Given a target with at most 4 running and 8 queued requests
    And a slot reserve of 1

  Scenario: A single active team uses all slots
    When team "a" sends 6 requests with 100 ms of work and a deadline in 10000 ms
    Then 4 requests run and 2 wait

  Scenario: A team leaves the reserved slot to another active team
    When team "b" sends a request with 100 ms of work and a deadline in 10000 ms
    And request 1 ends
    And team "a" sends 6 requests with 100 ms of work and a deadline in 10000 ms
    Then 3 requests run and 3 wait
    When team "b" sends a request with 100 ms of work and a deadline in 10000 ms
    Then request 8 starts
    And 4 requests run and 3 wait

  Scenario: No slot is reserved for teams that are no longer active
    When team "b" sends a request with 100 ms of work and a deadline in 10000 ms
    And request 1 ends
    And 11000 ms pass at the target
    And team "a" sends 6 requests with 100 ms of work and a deadline in 10000 ms
    Then 4 requests run and 2 wait

  Scenario: No slot is reserved within one priority
    When team "a" sends a request at priority 10 with 100 ms of work
    And request 1 ends
    And team "a" sends 5 requests with 100 ms of work and a deadline in 10000 ms
    Then 4 requests run and 1 wait

  Scenario: A priority leaves the reserved slot to a more urgent one
    When team "a" sends a request at priority 5 with 100 ms of work
    And request 1 ends
    And team "a" sends 5 requests with 100 ms of work and a deadline in 10000 ms
    Then 3 requests run and 2 wait

  Scenario: A team that overloads the target leaves others the slots they need
    Given a target with at most 8 running and 40 queued requests
    And a slot reserve of 2
    And entries report that team "a" demands 3 times its fair share
    When team "b" sends 8 requests with 1000 ms of work and a deadline in 60000 ms
    And requests 1 to 8 end
    And 300 ms pass at the target
    And team "a" sends 30 requests with 1000 ms of work and a deadline in 60000 ms
    Then 4 requests run and 26 wait
    When requests 9 to 12 end
    Then 4 requests run and 22 wait
    When team "b" sends 4 requests with 1000 ms of work and a deadline in 60000 ms
    Then 8 requests run and 22 wait

  Scenario: Teams within their fair shares fill all slots of a busy target
    Given a target with at most 8 running and 40 queued requests
    And a slot reserve of 2
    When team "a" sends 20 requests with 1000 ms of work and a deadline in 60000 ms
    And team "b" sends 20 requests with 1000 ms of work and a deadline in 60000 ms
    And requests 1 to 8 end
    Then 8 requests run and 24 wait

  Scenario: A busy team does not delay one with little demand
    Given a target with at most 8 running and 90 queued requests
    And a slot reserve of 2
    When team "a" sends 60 requests with 1000 ms of work and a deadline in 90000 ms
    And 300 ms pass at the target
    And team "b" sends 4 requests with 1000 ms of work and a deadline in 60000 ms
    And requests 1 to 8 end
    Then requests 61 to 64 run

  Scenario: An overusing team is limited before it fills the slots others need
    Given a target with at most 8 running and 40 queued requests
    And a slot reserve of 2
    And entries report that team "a" demands 3 times its fair share
    When teams "b c d" keep 4 slots busy for 6000 ms
    And team "a" sends 12 requests with 1000 ms of work and a deadline in 60000 ms
    Then 4 requests run and 8 wait
    When 300 ms pass at the target
    And requests 25 to 28 end
    Then 2 requests run and 6 wait

  Scenario: A burst of a team within its fair share of the fleet is not limited
    Given a target with at most 8 running and 40 queued requests
    And a slot reserve of 2
    When teams "b c d" keep 4 slots busy for 6000 ms
    And team "a" sends 12 requests with 1000 ms of work and a deadline in 60000 ms
    Then 6 requests run and 6 wait

  Scenario: A single report does not mark a team as overusing
    Given a target with at most 8 running and 40 queued requests
    And a slot reserve of 2
    When teams "b c d" keep 4 slots busy for 6000 ms
    And entries report that team "a" demands 100 times its fair share
    And team "a" sends a request with 1000 ms of work and a deadline in 60000 ms
    And entries report that team "a" demands 0 times its fair share
    And team "a" sends 11 requests with 1000 ms of work and a deadline in 60000 ms
    Then 6 requests run and 6 wait

  Scenario: Several overusing teams share the slots that others do not need
    Given a target with at most 8 running and 40 queued requests
    And a slot reserve of 2
    And entries report that team "a" demands 3 times its fair share
    And entries report that team "e" demands 3 times its fair share
    When teams "b c d" keep 4 slots busy for 6000 ms
    And team "a" sends 12 requests with 1000 ms of work and a deadline in 60000 ms
    And team "e" sends 12 requests with 1000 ms of work and a deadline in 60000 ms
    And 300 ms pass at the target
    And requests 25 to 28 end
    Then 4 requests run and 16 wait

  Scenario: The wait reported for a team includes all teams within their shares
    Given a target with at most 2 running and 40 queued requests
    When team "a" sends 6 requests with 1000 ms of work and a deadline in 60000 ms
    Then the wait reported for team "b" is 3000 ms

  Scenario: The wait reported for a team excludes overusing teams
    Given a target with at most 2 running and 40 queued requests
    And entries report that team "a" demands 3 times its fair share
    When team "b" sends a request with 1000 ms of work and a deadline in 60000 ms
    And team "a" sends 8 requests with 1000 ms of work and a deadline in 60000 ms
    Then the wait reported for team "b" is 1000 ms

  Scenario: The slots that teams need are estimated within their first second
    Given a target with at most 8 running and 40 queued requests
    And a slot reserve of 2
    And entries report that team "a" demands 3 times its fair share
    When teams "b c d" keep 4 slots busy for 1500 ms
    And team "a" sends 12 requests with 1000 ms of work and a deadline in 60000 ms
    And 300 ms pass at the target
    And requests 7 to 9 end
    Then 2 requests run and 7 wait

  Scenario: A team is not limited once it is back within its share
    Given a target with at most 8 running and 40 queued requests
    And a slot reserve of 2
    And entries report that team "a" demands 3 times its fair share
    When teams "a a a b" keep 8 slots busy for 8000 ms
    And 900 ms pass at the target
    And entries report that team "a" demands 0 times its fair share
    And team "a" sends 6 requests with 100 ms of work and a deadline in 60000 ms
    Then 6 requests run and 0 wait

  Scenario: The reported utilization of a full target includes running requests
    When team "a" sends 4 requests with 60000 ms of work and a deadline in 90000 ms
    And 5000 ms pass at the target
    And request 1 ends
    Then the reported utilization of the target is 0.75
