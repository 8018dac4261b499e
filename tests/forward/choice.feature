Feature: Selection of the target of a request

  Scenario: Requests of a prefix go to the target that caches it
    Given 4 direct targets
    And target 2 caches the shared prefix of a prompt
    When a target is selected for the prompt
    Then target 2 is selected

  Scenario: Requests of a prefix go elsewhere if its target has a long queue
    Given 4 direct targets
    And target 2 caches the shared prefix of a prompt
    And target 2 has 60000 tokens to prefill
    When a target is selected for the prompt
    Then target 2 is not selected

  Scenario Outline: A target that is in a bad state is avoided
    Given 4 direct targets
    And target 2 caches the shared prefix of a prompt
    And target 2 <state>
    When a target is selected for the prompt
    Then target 2 is not selected

    Examples:
      | state                                  |
      | is reserved for an order               |
      | has just failed                        |
      | is unreachable                         |
      | has had outdated weights for too long  |
      | has been silent for 2000 ms            |

  Scenario Outline: A target in a bad state is used if there is no other
    Given 1 direct targets
    And target 1 <state>
    When a target is selected for the prompt
    Then target 1 is selected

    Examples:
      | state                    |
      | is reserved for an order |
      | has just failed          |
      | is unreachable           |

  Scenario Outline: Permits of targets with a limit are used for large prompts
    Given 2 direct targets
    And target 1 names a limit, and 1 permit for it is held
    And target 2 has <queue> tokens to prefill
    When a target is selected for a prompt of <size> times the mean size
    Then target <selected> is selected

    Examples:
      | size | queue | selected |
      | 0.4  | 12000 | 2        |
      | 1.6  | 0     | 1        |
      | 0.4  | 80000 | 1        |

  Scenario: A target with a limit for which no permit is held gets nothing
    Given 2 direct targets
    And target 1 names a limit, and 0 permits for it are held
    And target 2 has 80000 tokens to prefill
    When a target is selected for a prompt of 1.0 times the mean size
    Then target 2 is selected

  @promise.no_old_weights
  Scenario: No request goes to older weights once newer ones are long named
    Given 3 direct targets
    And target 1 has had outdated weights for too long
    And the other targets have been tried
    When a target is selected for the prompt
    Then no target is selected

  @promise.no_old_weights
  Scenario Outline: What a target lacks counts from the first version it lacks
    Given 3 direct targets
    And target 1 has weights version 1
    And weights versions 2 and 3 were announced <first> and <second> ms ago
    And target 1 has <tokens> tokens to prefill
    And the other targets have been tried
    When a target is selected for the prompt
    Then <result>

    Examples:
      | first | second | tokens | result                |
      | 9000  | 500    | 0      | no target is selected |
      | 6000  | 500    | 0      | target 1 is selected  |
      | 6000  | 500    | 80000  | no target is selected |

  Scenario: The first target with new weights does not get all requests
    Given 3 direct targets
    And target 1 has weights version 2
    And target 2 has weights version 1
    And target 3 has weights version 1
    And weights versions 2 and 2 were announced 3000 and 3000 ms ago
    And target 1 has 16000 tokens to prefill
    When a target is selected for the prompt
    Then target 1 is not selected

  Scenario Outline: A plain request goes to a target with an open connection
    Given 5 direct targets
    And a connection to target 4 is open
    And target 4 has <requests> requests in flight
    When a target is selected for a plain request 20 times
    Then target 4 is selected <times>

    Examples:
      | requests | times      |
      | 0        | each time  |
      | 1        | not always |

  Scenario: All entries prefer the same target for an uncached prefix
    Given 6 direct targets
    When 5 entries select a target for each of 50 uncached prompts
    Then the entries agree on every prompt
    And every target is selected for some prompt

  Scenario: A shared prefix is fetched from a target that caches it
    Given 4 direct targets
    And target 2 caches the shared prefix of a prompt
    When target 3 gets the prompt
    Then it fetches from target 2

  Scenario Outline: A shared prefix is fetched from the nearest of its targets
    Given 6 direct targets
    And target 2 caches the shared prefix of a prompt
    And target 6 caches the shared prefix of a prompt
    When target <selected> gets the prompt
    Then it fetches from target <source>

    Examples:
      | selected | source |
      | 3        | 6      |
      | 5        | 2      |

  @promise.no_foreign_cache
  Scenario: Nothing is fetched from a target on other weights
    Given 4 direct targets
    And target 2 caches the shared prefix of a prompt
    And target 2 has had outdated weights for too long
    When target 3 gets the prompt
    Then it does not fetch from target 2

  Scenario: Nothing is fetched if the target caches the shared prefix
    Given 4 direct targets
    And target 2 caches the shared prefix of a prompt
    When target 2 gets the prompt
    Then it fetches nothing

  Scenario: Prompts are routed by their first part if its load is low enough
    Given the load of 200 prompts with 40 different first parts
    Then their prompts are routed by the first part alone

  Scenario: Prompts are routed by a longer prefix if the first part is too hot
    Given the load of 200 prompts with 2 different first parts
    Then their prompts are routed by both parts

  Scenario: A prefix that causes most of the load is replicated
    Given the load of 200 prompts of which 160 share one prefix
    Then that prefix is replicated on more than 4 of 6 targets

  Scenario: Admission control keeps most answers on time in overload
    Given 6 direct targets
    When an overload of 12 s is placed with admission control
    And the same overload is placed without admission control
    Then at least half of all first tokens come within 1000 ms
    And without admission control fewer than a third do
    And no request with a short queueing delay was rejected
    And the largest requests are rejected at most twice as often as all

  Scenario: The cache model evicts the least recently used prompt
    Given a cache of 1000 tokens with prompts of 400 and 500 tokens
    When a prompt of 300 tokens is added
    Then it has only the prompts of 500 and 300 tokens

  Scenario: A part counts as cached only after the parts before it
    Given a cache of 1000 tokens with prompts of 400 and 500 tokens
    Then the second part of a prompt without its first is not cached

  Scenario: A burst of one prefix is answered within the latency objective
    Given 6 direct targets
    When a load of 12 s with a burst is placed by target selection
    And the same load is placed by prefix affinity alone
    Then 95 in 100 first tokens with target selection come within 1000 ms
    And 95 in 100 first tokens by prefix affinity alone do not

  Scenario: Control sums the loads of all entries
    Given a load aggregator and 3 entries
    When entries 1 and 2 report load on a target
    Then entry 3 receives the total, and entry 1 the load of entry 2

  Scenario: The load of a silent entry expires
    Given a load aggregator and 3 entries
    When entries 1 and 2 report load on a target
    And 1500 ms pass
    Then entry 3 receives no load

  Scenario: The sums stay right over many exchanges, restarts and silences
    Given a load aggregator and 3 entries
    When 30 entries send 400 random exchanges, with restarts and silences
    Then each entry receives the last loads of the others

  Scenario: All entries learn that a target shuts down
    Given a load aggregator and 3 entries
    When entry 1 reports that a target is leaving
    Then entry 2 receives that it is leaving

  Scenario Outline: Prefill since the report is subtracted from shared loads
    Given 4 direct targets
    And other entries reported <tokens> tokens of target 2 <age> ms ago
    Then <left> tokens of other entries are expected to be left at target 2

    Examples:
      | tokens | age | left  |
      | 20000  | 0   | 20000 |
      | 20000  | 200 | 12000 |
      | 4000   | 200 | 0     |
      | 20000  | 900 | 0     |

  Scenario: Each prefilled prompt is reported to each other entry once
    Given a load aggregator and 3 entries
    When entry 1 reports 500 reads
    Then entry 2 receives 500 reads in two exchanges
    And entry 1 receives 0 reads

  Scenario: A duplicate exchange counts once
    Given a load aggregator and 3 entries
    When entry 1 reports 10 reads
    And its exchange is received again
    Then entry 2 receives 10 reads in two exchanges

  Scenario Outline: Prompts of an exchange without a reply are sent again
    Given a load aggregator and 3 entries
    And an entry that had 10 prompts read
    When the <lost> of its exchange is lost and it exchanges again
    Then entry 2 receives 10 reads in two exchanges
    And that entry has no unreported reads

    Examples:
      | lost    |
      | request |
      | reply   |

  Scenario: After a change of the leader no prompt is lost
    Given a load aggregator and 3 entries
    When entry 1 reports 10 reads
    And another leader takes over
    And entry 1 reports 20 reads
    Then entry 2 receives 20 reads in two exchanges

  Scenario: Entries with stale loads do not all send to the same idle targets
    When 23 entries that know loads of 100 ms ago place requests on 24 targets
    And the same entries compare all targets
    Then 85 in 100 first tokens come within 600 ms
    And with all compared, fewer than 85 in 100 do within 600 ms

  Scenario: A short burst causes no rejections
    Given an admission controller with a half-life of 500 ms
    When requests have a queueing delay of 20 ms for 2000 ms
    And requests have a queueing delay of 350 ms for 100 ms
    Then a queueing delay of 350 ms is admitted for a less urgent route

  Scenario: A sustained queue causes rejections on less urgent routes
    Given an admission controller with a half-life of 500 ms
    When requests have a queueing delay of 20 ms for 2000 ms
    And requests have a queueing delay of 350 ms for 2000 ms
    Then a queueing delay of 350 ms is rejected for a less urgent route
    And a queueing delay of 100 ms is admitted for a less urgent route

  Scenario: A prompt that the store lacks is saved once
    Given 4 direct targets
    And a store of 100000 tokens
    When target 3 gets the prompt and may use the store
    Then the prompt is saved
    When target 4 gets the prompt and may use the store
    Then the prompt is not saved

  Scenario: A prefix that no engine caches is fetched from the store
    Given 4 direct targets
    And a store of 100000 tokens
    And the store has the prompt
    When target 3 gets the prompt and may use the store
    Then it fetches from the store

  Scenario: A shared prefix is fetched from an engine rather than the store
    Given 4 direct targets
    And a store of 100000 tokens
    And the store has the prompt
    And target 2 caches the shared prefix of a prompt
    When target 3 gets the prompt and may use the store
    Then it fetches from target 2 and not from the store

  @promise.stores_by_weights
  Scenario: Parts read with older weights do not come from the store
    Given 4 direct targets
    And a store of 100000 tokens
    And the store has the prompt
    And all targets have newer weights
    When target 3 gets the prompt and may use the store
    Then it does not fetch from the store
    And the prompt is saved

  Scenario Outline: A prompt that is not worth a transfer is not saved
    Given 4 direct targets
    And a store of 100000 tokens
    And a prompt with <shared> shared and <own> own tokens
    When target 3 gets the prompt and may use the store
    Then the prompt is <verdict>

    Examples:
      | shared | own  | verdict   |
      | 5000   | 4900 | saved     |
      | 5000   | 5100 | not saved |
      | 900    | 100  | not saved |

  Scenario: Without a store nothing is saved
    Given 4 direct targets
    When target 3 gets the prompt and may use the store
    Then the prompt is not saved
