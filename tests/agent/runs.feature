Feature: An agent runs requests at its target

  Scenario: A streamed answer is delivered whole
    Given an agent beside an engine
    When an entry submits request "r1" for 20 tokens
    Then the entry has the whole answer
    And the engine ran 1 request

  Scenario: An answer continues where an earlier attempt stopped
    Given an agent beside an engine
    When an entry submits request "r1" for 20 tokens from token 8
    Then the entry has the answer from token 8

  Scenario: The same attempt sent twice runs once
    Given an agent beside an engine
    When an entry submits request "r1" for 20 tokens twice
    Then both have the whole answer
    And the engine ran 1 request

  Scenario: An answer is resumed on a new connection
    Given an agent beside an engine
    When an entry loses its connection after some of 40 tokens
    And it resumes on a new connection
    Then the entry has the whole answer
    And the engine ran 1 request

  Scenario: A request reported as not run is not run when it arrives late
    Given an agent beside an engine
    When an entry resumes request "r1" that was never submitted
    Then it is not run because of "not_found"
    When an entry submits request "r1" for 5 tokens
    Then it is broken because of "not_found" after 0 chunks
    And the engine ran 0 requests

  Scenario: A cancelled request is cancelled at the engine
    Given an agent beside an engine
    When an entry cancels a running request for 5000 tokens
    Then it is broken because of "cancelled"
    And the engine cancels the request

  Scenario: A request cancelled on arrival never runs
    Given an agent beside an engine
    When an entry submits and cancels a request at once
    Then it is not run because of "cancelled"
    And the engine ran 0 requests

  Scenario: An answer that nobody reads is cancelled at the engine
    Given an agent that keeps answers for 300 ms beside an engine
    When an entry loses its connection after some of 5000 tokens
    Then the engine cancels the request

  Scenario: A reader that acknowledges nothing pauses the stream
    Given an agent beside an engine
    When an entry reads 1500 tokens without acknowledging them
    Then it is sent at least 1000 tokens but not all
    When it acknowledges what it has
    Then the entry has the whole answer

  Scenario: A reader suspended for longer than the silence timeout resumes
    Given an agent beside an engine
    When an entry that is suspended for 1300 ms reads 1500 tokens
    Then the entry has the whole answer

  Scenario: A broken stream is resumed at the same engine
    Given an agent beside a target that streams 2 of 3 events, then the rest
    When an entry submits request "r1" for 3 tokens
    Then the entry has 3 chunks and the answer is finished

  Scenario: An answer is broken if the engine can't resume its stream
    Given an agent beside a target that streams 2 of 3 events, then nothing
    When an entry submits request "r1" for 3 tokens
    Then it is broken because of "target_failed" after 2 chunks

  Scenario: A request that may have been received is never reported as not run
    Given an agent beside a target that hangs up on requests
    When an entry submits request "r1" for 3 tokens
    Then it is broken because of "target_failed" after 0 chunks

  Scenario: A request to a target that refuses connections is not run
    Given an agent beside a target that no longer listens
    When an entry submits request "r1" for 3 tokens
    Then it is not run because of "target_down"

  Scenario: A request to a silent target is broken
    Given an agent beside a target that goes silent
    When an entry submits request "r1" for 3 tokens
    Then it is broken because of "silent" after 0 chunks

  Scenario: An answer from other weights than requested is not passed on
    Given an agent beside a target whose answer has other weights
    When an entry submits request "r1" for 3 tokens of weights "1"
    Then it is broken because of "wrong_weights" after 0 chunks

  Scenario Outline: A request that the target can't serve is not run
    Given an agent beside an engine
    When an entry submits request "r1" for <what>
    Then it is not run because of "<reason>"
    And the engine ran 0 requests

    Examples:
      | what                     | reason        |
      | 3 tokens of model "x"    | wrong_model   |
      | 3 tokens of weights "9"  | wrong_weights |
      | 9000 tokens with 9000 ms left | deadline |
      | 3 tokens with -1 ms left | expired       |
      | 3 tokens of a bad body   | bad_request   |

  Scenario: Teams share only the cached blocks of shared levels
    Given an agent beside an engine
    When teams "a" and "b" submit prompts that share 1 of 2 levels
    Then team "b" finds 1 of its pieces cached
    And the engine saw the salts "shared:model, team:a" and "shared:model, team:b"
    When team "a" submits its prompt again
    Then it finds 2 of its pieces cached

  # Guards against pieces of a team that no longer shares their level.
  @promise.no_foreign_cache
  Scenario: What was shared in an earlier generation is not found
    Given an agent beside an engine
    When teams "a" and "b" submit prompts that share 1 of 2 levels
    And team "b" submits its prompt in sharing generation 4
    Then it finds 0 of its pieces cached

  Scenario: A caller can't choose its cache salt
    Given an agent beside an engine
    When a caller sets the cache salt "team:other" in its body
    Then the engine saw only the salt "team:team-1"

  Scenario: An agent reports how much of a prompt its engine has cached
    Given an agent beside an engine
    When teams "a" and "b" submit prompts that share 1 of 2 levels
    Then the agent reports 2 cached pieces of the prompt of team "a"
    And the agent reports 1 cached pieces of the prompt of team "c"

  Scenario: An agent reports a longer wait to a team above its fair share
    Given an agent beside an engine with 2 slots
    When 8 entries submit requests for 300 tokens at 3 times the fair share
    Then the wait reported to team "team-1" is over twice that of team "c"

  Scenario: A prompt that is being prefilled is expected to be cached
    Given an agent beside an engine that takes 2000 ms for a piece
    When team "a" sends its prompt
    Then the prompt of team "a" is expected to find its pieces cached

  # An agent sent its target whatever it got, as limits were read nowhere.
  @promise.rate_limits
  Scenario: An agent keeps to the rate limit that its target names
    Given an agent beside a target that names a limit of 2 requests a second
    When an entry submits 40 requests, one each 100 ms
    Then in the last 3 s the target got at most 10 requests and at least 3
    And all others are not run because of "full", with a time to come back
