Feature: Admission control of a target

  Background:
    Given a target with at most 2 running and 4 queued requests

  Scenario: A request starts immediately on an idle target
    When team "a" sends a request with 100 ms of work and a deadline in 10000 ms
    Then request 1 starts

  Scenario: No more requests run concurrently than allowed
    When team "a" sends 4 requests with 100 ms of work and a deadline in 10000 ms
    Then 2 requests run and 2 wait
    When request 1 ends
    Then 2 requests run and 1 wait

  Scenario: A full queue refuses requests immediately, with a retry time
    When team "a" sends 6 requests with 100 ms of work and a deadline in 10000 ms
    And team "a" sends a request with 100 ms of work and a deadline in 10000 ms
    Then request 7 is refused as "full" with a retry time

  Scenario: A request of another team replaces one of the team that fills the queue
    When team "a" sends 6 requests with 100 ms of work and a deadline in 10000 ms
    And team "b" sends a request with 100 ms of work and a deadline in 10000 ms
    Then 2 requests run and 4 wait
    And request 6 is refused as "full" with a retry time
    When team "a" sends a request with 100 ms of work and a deadline in 10000 ms
    Then request 8 is refused as "team_limit" with a retry time

  Scenario: A request that can't meet its deadline is refused immediately
    When team "a" sends 4 requests with 4000 ms of work and a deadline in 60000 ms
    And team "a" sends a request with 4000 ms of work and a deadline in 5000 ms
    Then request 5 is refused as "deadline" with a retry time

  Scenario: The retry time grows with the queue
    When team "a" sends 3 requests with 4000 ms of work and a deadline in 60000 ms
    And team "a" sends a request with 4000 ms of work and a deadline in 5000 ms
    And team "a" sends a request with 4000 ms of work and a deadline in 60000 ms
    And team "a" sends a request with 4000 ms of work and a deadline in 5000 ms
    Then request 6 is to be retried later than request 4

  Scenario: A request that is retried at the given time is admitted
    When team "a" sends 3 requests with 4000 ms of work and a deadline in 60000 ms
    And team "a" sends a request with 4000 ms of work and a deadline in 5000 ms
    And the retry time of request 4 has passed
    And team "a" sends a request with 4000 ms of work and a deadline in 5000 ms
    Then request 5 waits

  Scenario: A queued request is refused once its deadline can't be met
    When team "a" sends 2 requests with 20 ms of work and a deadline in 60000 ms
    And team "b" sends a request with 50 ms of work and a deadline in 80 ms
    Then request 3 is refused as "deadline" before its deadline

  Scenario: Refused requests free their places
    When team "a" sends 6 requests with 100 ms of work and a deadline in 10000 ms
    And the target starts to drain
    Then request 3 is refused as "draining"
    When all requests end
    Then 0 requests run and 0 wait
    When team "a" sends a request with 100 ms of work and a deadline in 10000 ms
    Then request 7 is refused as "draining"

  Scenario: Requests are queued at the agent while earlier ones are in prefill
    Given a target with at most 8 running and 8 queued requests
    And at most 2 requests without a first token
    When team "a" sends 4 requests with 100 ms of work and a deadline in 10000 ms
    Then 2 requests run and 2 wait
    When the first token of request 1 arrives
    Then 3 requests run and 1 wait

  Scenario: Refused callers get different retry times
    When team "a" sends 6 requests with 100 ms of work and a deadline in 10000 ms
    And team "a" sends 3 requests with 100 ms of work and a deadline in 10000 ms
    Then request 8 is to be retried later than request 7
    And request 9 is to be retried later than request 8

  Scenario: Requests that are held back do not add to the expected wait
    Given a target with at most 4 running and 20 queued requests
    And a slot reserve of 1
    When team "b" sends a request with 100 ms of work and a deadline in 10000 ms
    And request 1 ends
    And team "a" sends 12 requests with 1000 ms of work and a deadline in 60000 ms
    And team "b" sends a request with 100 ms of work and a deadline in 150 ms
    Then request 14 starts

  Scenario: The expected wait is corrected by actual waits
    Then an expected wait of 100 ms is corrected after waits of 200 ms instead of 100 ms

  Scenario: A team's own queue counts in the backlog, but not in other teams' waits
    When team "a" sends 6 requests with 1000 ms of work and a deadline in 60000 ms
    Then a request of an idle team waits less than the backlog
    And a request of team "a" waits at least as long as the backlog

  Scenario: A request that will be overtaken past its deadline is refused on arrival
    Given a target with at most 2 running and 20 queued requests
    When teams "b c" keep 2 slots busy for 6000 ms
    And team "b" sends a request with 1000 ms of work and a deadline in 60000 ms
    And team "c" sends a request with 1000 ms of work and a deadline in 60000 ms
    And team "a" sends 3 requests with 1000 ms of work and a deadline in 60000 ms
    And team "a" sends a request with 1000 ms of work and a deadline in 4500 ms
    Then request 18 has been refused as "deadline"

  Scenario: A queued request is refused once it is expected to miss its deadline
    When team "a" sends 3 requests with 1000 ms of work and a deadline in 2300 ms
    Then request 3 waits
    When team "b" sends a request at priority 5 with 1000 ms of work
    And 100 ms pass at the target
    And team "b" sends a request at priority 5 with 1000 ms of work
    Then request 3 has been refused as "deadline"
    And 2 requests run and 2 wait

  Scenario: The expected wait accounts for a team's slot limit
    Given a target with at most 8 running and 40 queued requests
    And a slot reserve of 2
    And entries report that team "a" demands 3 times its fair share
    When teams "b c d" keep 4 slots busy for 6000 ms
    And team "a" sends 12 requests with 1000 ms of work and a deadline in 60000 ms
    And 300 ms pass at the target
    And team "a" sends a request with 1000 ms of work and a deadline in 4500 ms
    Then request 37 has been refused as "deadline"

  Scenario: Retry times are scheduled separately for each team
    When requests have been refused for 10000 ms
    And team "a" sends 16 requests with 100 ms of work and a deadline in 10000 ms
    And team "b" sends 3 requests with 100 ms of work and a deadline in 10000 ms
    And team "b" sends 3 requests with 100 ms of work and a deadline in 10000 ms
    Then request 36 is to be retried later than request 42

  Scenario: Retry times advance at the rate at which the team is served
    When requests have been refused for 2500 ms
    And team "a" sends 6 requests with 1000 ms of work and a deadline in 90000 ms
    And team "b" sends 3 requests with 1000 ms of work and a deadline in 90000 ms
    And 300 ms pass at the target
    And team "a" sends 2 requests with 1000 ms of work and a deadline in 90000 ms
    Then request 16 is to be retried 1000 ms after request 15

  Scenario: An overload that just began is expected to end soon
    When team "a" sends 6 requests with 1000 ms of work and a deadline in 90000 ms
    And team "b" sends 3 requests with 1000 ms of work and a deadline in 90000 ms
    And team "a" sends 6 requests with 1000 ms of work and a deadline in 90000 ms
    Then request 15 is to be retried 500 ms after request 14

  Scenario: No retry time is before the expected end of an overload
    When requests have been refused for 5000 ms
    And team "a" sends 6 requests with 100 ms of work and a deadline in 90000 ms
    And team "a" sends a request with 100 ms of work and a deadline in 90000 ms
    Then request 17 is to be retried after at least 5000 ms

  Scenario: The expected end of an answer follows from its first token
    Given at most 2 requests without a first token
    When team "a" sends 2 requests with 600 ms of work and a deadline in 10000 ms
    And 400 ms pass until the first tokens of requests 1 to 2 arrive
    Then the backlog is 600 ms
