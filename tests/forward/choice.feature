Feature: Choosing the target of a request

  Scenario: Requests of a prefix go to the target that holds it
    Given 4 direct targets
    And target 2 holds the shared parts of a prompt
    When a target is chosen for the prompt
    Then target 2 is chosen

  Scenario: A prefix leaves the target that holds it once its queue is longer
    Given 4 direct targets
    And target 2 holds the shared parts of a prompt
    And target 2 has 60000 tokens to read
    When a target is chosen for the prompt
    Then target 2 is not chosen

  Scenario Outline: Targets that can't do the work well are left out
    Given 4 direct targets
    And target 2 holds the shared parts of a prompt
    And target 2 <state>
    When a target is chosen for the prompt
    Then target 2 is not chosen

    Examples:
      | state                        |
      | is held for an order         |
      | failed just now              |
      | can't be reached             |
      | has had old weights too long |
      | has been silent for 2000 ms  |

  Scenario Outline: A target is used all the same when there is no other
    Given 1 direct targets
    And target 1 <state>
    When a target is chosen for the prompt
    Then target 1 is chosen

    Examples:
      | state                        |
      | is held for an order         |
      | failed just now              |
      | can't be reached             |

  @promise.no_old_weights
  Scenario: No request goes to older weights once newer ones are long named
    Given 3 direct targets
    And target 1 has had old weights too long
    And the other targets are tried already
    When a target is chosen for the prompt
    Then no target is chosen

  @promise.no_old_weights
  Scenario Outline: What a target lacks counts from the first version it lacks
    Given 3 direct targets
    And target 1 has weights 1
    And weights 2 and 3 were named <first> and <second> ms ago
    And target 1 has <tokens> tokens to read
    And the other targets are tried already
    When a target is chosen for the prompt
    Then <result>

    Examples:
      | first | second | tokens | result              |
      | 9000  | 500    | 0      | no target is chosen |
      | 6000  | 500    | 0      | target 1 is chosen  |
      | 6000  | 500    | 80000  | no target is chosen |

  Scenario: The first target with new weights does not get all requests
    Given 3 direct targets
    And target 1 has weights 2
    And target 2 has weights 1
    And target 3 has weights 1
    And weights 2 and 2 were named 3000 and 3000 ms ago
    And target 1 has 16000 tokens to read
    When a target is chosen for the prompt
    Then target 1 is not chosen

  Scenario Outline: A plain request goes where a connection is kept
    Given 5 direct targets
    And a connection to target 4 is kept
    And target 4 has <requests> requests
    When a target is chosen for a plain request 20 times
    Then target 4 is chosen <times>

    Examples:
      | requests | times      |
      | 0        | each time  |
      | 1        | not always |

  Scenario: All entries prefer the same target for a prefix that none knows
    Given 6 direct targets
    When 5 entries choose a target for each of 50 unknown prompts
    Then the entries agree on every prompt
    And every target is chosen for some prompt

  Scenario: Shared parts are fetched from the target known to hold them
    Given 4 direct targets
    And target 2 holds the shared parts of a prompt
    When target 3 is to run the prompt
    Then it fetches from target 2

  @promise.no_foreign_cache
  Scenario: Nothing is fetched from a target on other weights
    Given 4 direct targets
    And target 2 holds the shared parts of a prompt
    And target 2 has had old weights too long
    When target 3 is to run the prompt
    Then it does not fetch from target 2

  Scenario: Nothing is fetched for a prompt whose shared parts are held
    Given 4 direct targets
    And target 2 holds the shared parts of a prompt
    When target 2 is to run the prompt
    Then it fetches nothing

  Scenario: An outer level that many share is kept together
    Given the work of 200 prompts under 40 outer levels
    Then their prompts are kept together by the outer level

  Scenario: A level too hot for one target is left for the next one
    Given the work of 200 prompts under 2 outer levels
    Then their prompts are kept together by the inner level

  Scenario: A prompt that takes most of the work is spread over targets
    Given the work of 200 prompts of which 160 are of one prefix
    Then that prefix is spread over more than 4 of 6 targets

  Scenario: In overload most are answered on time, and the rest told to return
    Given 6 direct targets
    When a recorded overload of 12 s is placed with requests turned away
    And the same overload is placed with none turned away
    Then at least half of all first tokens come within 1000 ms
    And with none turned away fewer than a third do
    And no request was turned away while its queue was short
    And the largest are turned away no more often than twice all

  Scenario: A cache forgets what was unused for longest
    Given a cache of 1000 tokens that read prompts of 400 and 500 tokens
    When it reads a prompt of 300 tokens
    Then it holds the prompts of 500 and 300 tokens only

  Scenario: A part counts only behind the parts before it
    Given a cache of 1000 tokens that read prompts of 400 and 500 tokens
    Then the second part of a prompt without its first is not held

  Scenario: A burst of one prefix is answered within the latency objective
    Given 6 direct targets
    When a recorded load of 12 s with a burst is placed by the choice
    And the same load is placed by prefix alone
    Then 95 in 100 first tokens of the choice come within 1000 ms
    And 95 in 100 first tokens by prefix alone do not

  Scenario: The loads of all entries meet at control and come back
    Given a hub of loads and 3 entries
    When entries 1 and 2 tell what they have at a target
    Then entry 3 learns the sum, and entry 1 the part of entry 2

  Scenario: An entry that says nothing any more counts no more
    Given a hub of loads and 3 entries
    When entries 1 and 2 tell what they have at a target
    And 1500 ms pass
    Then entry 3 learns of no load

  Scenario: Sums stay right over many exchanges, restarts and silent entries
    Given a hub of loads and 3 entries
    When 400 exchanges of 30 entries are drawn, with restarts and silences
    Then each entry learns what the others told last

  Scenario: Where targets leave is known to all entries
    Given a hub of loads and 3 entries
    When entry 1 tells that a target leaves
    Then entry 2 learns that it leaves

  Scenario Outline: What others have is taken to be read on meanwhile
    Given 4 direct targets
    And others told <tokens> tokens of target 2 that were unread <age> ms ago
    Then <left> tokens of others are taken to be unread at target 2

    Examples:
      | tokens | age | left  |
      | 20000  | 0   | 20000 |
      | 20000  | 200 | 12000 |
      | 4000   | 200 | 0     |
      | 20000  | 900 | 0     |

  Scenario: Each read is told to each other entry once
    Given a hub of loads and 3 entries
    When entry 1 tells of 500 reads
    Then entry 2 learns of 500 reads in two exchanges
    And entry 1 learns of 0 reads

  Scenario: An exchange that comes twice counts once
    Given a hub of loads and 3 entries
    When entry 1 tells of 10 reads
    And its exchange comes once more
    Then entry 2 learns of 10 reads in two exchanges

  Scenario Outline: Reads whose exchange has no reply are told again, and once
    Given a hub of loads and 3 entries
    And an entry that had 10 prompts read
    When the <lost> of its exchange is lost and it exchanges again
    Then entry 2 learns of 10 reads in two exchanges
    And nothing is left to be told by that entry

    Examples:
      | lost    |
      | request |
      | reply   |

  Scenario: A new leader begins anew and nothing is taken for told
    Given a hub of loads and 3 entries
    When entry 1 tells of 10 reads
    And another hub takes over
    And entry 1 tells of 20 reads
    Then entry 2 learns of 20 reads in two exchanges

  Scenario: Entries with old loads do not all send to what was free
    When 23 entries with loads 100 ms old place a load on 24 targets
    And the same entries compare all targets
    Then 85 in 100 first tokens come within 600 ms
    And with all compared fewer than 85 in 100 do within 600 ms

  Scenario: A queue that comes and goes turns nobody away
    Given an admission controller with a half-life of 500 ms
    When requests meet queues of 20 ms for 2000 ms
    And requests meet queues of 350 ms for 100 ms
    Then a queue of 350 ms is taken for a less urgent request

  Scenario: A queue that stays turns less urgent requests away
    Given an admission controller with a half-life of 500 ms
    When requests meet queues of 20 ms for 2000 ms
    And requests meet queues of 350 ms for 2000 ms
    Then a queue of 350 ms is refused for a less urgent request
    And a queue of 100 ms is taken for a less urgent request

  Scenario: Shared parts that the store lacks are saved once
    Given 4 direct targets
    And a store of 100000 tokens
    When target 3 is to run the prompt with the store
    Then its parts are saved
    When target 4 is to run the prompt with the store
    Then its parts are not saved

  Scenario: What engines had to drop comes from the store
    Given 4 direct targets
    And a store of 100000 tokens
    And the store holds the prompt
    When target 3 is to run the prompt with the store
    Then it fetches from the store

  Scenario: An engine that holds the shared parts is asked before the store
    Given 4 direct targets
    And a store of 100000 tokens
    And the store holds the prompt
    And target 2 holds the shared parts of a prompt
    When target 3 is to run the prompt with the store
    Then it fetches from target 2 and not from the store

  @promise.stores_by_weights
  Scenario: Parts read with older weights do not come from the store
    Given 4 direct targets
    And a store of 100000 tokens
    And the store holds the prompt
    And all targets have newer weights
    When target 3 is to run the prompt with the store
    Then it does not fetch from the store
    And its parts are saved

  Scenario Outline: Parts that are not worth moving are not saved
    Given 4 direct targets
    And a store of 100000 tokens
    And a prompt with <shared> shared and <own> own tokens
    When target 3 is to run the prompt with the store
    Then its parts are <verdict>

    Examples:
      | shared | own  | verdict   |
      | 5000   | 4900 | saved     |
      | 5000   | 5100 | not saved |
      | 900    | 100  | not saved |

  Scenario: Without a store nothing is saved
    Given 4 direct targets
    When target 3 is to run the prompt with the store
    Then its parts are not saved
