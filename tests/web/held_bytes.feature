Feature: What all HTTP clients of a process make it hold is bounded

  Scenario: The connection ended first holds the most for the longest
    Given bounds of 100 bytes and 10 connections
    And connections "old small 40 bytes for 9 s", "new large 50 bytes for 1 s" and "newest 20 bytes for 0 s"
    When room is made
    Then the connections "old small" were ended

  Scenario: Connections that are being served are not ended
    Given bounds of 100 bytes and 10 connections
    And a served connection that holds 200 bytes
    When room is made
    Then the connections "" were ended
    And new requests are refused

  Scenario: A request that is the only one is served
    Given bounds of 100 bytes and 10 connections
    And connections "only 200 bytes for 9 s"
    When room is made
    Then the connections "" were ended

  Scenario: Clients that never made a request give way to new connections
    Given bounds of 100 bytes and 2 connections
    And a connection "kept" that was answered and is idle for 60 s
    And connections "silent 0 bytes for 5 s" and "new 0 bytes for 0 s"
    Then the connections "silent" were ended

  Scenario Outline: The machine's memory is <bytes> where the kernel says "<line>"
    Then the memory of a machine with the line "<line>" is <bytes> bytes

    Examples:
      | line                  | bytes      |
      | MemTotal: 131072 kB   | 134217728  |
      | MemTotal: many        | 1073741824 |
      | MemFree: 10 kB        | 1073741824 |

  # Processes took a quarter of the machine where their group had less.
  Scenario Outline: Of the groups "<groups>" with <limits>, the memory is <bytes>
    Given the control groups "<groups>" with the limits "<limits>"
    Then the memory of the control groups is <bytes>

    Examples:
      | groups                 | limits                                    | bytes |
      | 0::/a/b                | a/b/memory.max=900                        | 900   |
      | 0::/a/b                | a/b/memory.max=900 a/memory.max=500       | 500   |
      | 0::/a/b                | a/b/memory.max=max a/memory.max=500       | 500   |
      | 0::/                   | memory.max=700                            | 700   |
      | 0::/../of/host         | memory.max=700                            | 700   |
      | 0::/a                  | a/memory.max=max                          | none  |
      | 0::/a                  | a/memory.max=-5                           | none  |
      | 3:cpu,memory:/c 1:x:/d | memory/c/memory.limit_in_bytes=800        | 800   |
      | 3:cpu:/c               | memory/c/memory.limit_in_bytes=800        | none  |
      | no group               | memory.max=700                            | none  |

  # 4,000 requests were begun at once, and more with each answer.
  Scenario: Requests sent ahead are begun as earlier ones are answered
    Given an HTTP server that counts the requests that are open
    When a client sends 3000 requests ahead and then reads
    Then it gets 3000 answers in their order
    And at most 4 requests were begun before an answer

  Scenario: A client that leaves ends the request that runs before others
    Given an HTTP server whose first request does not end
    When a client sends 3 requests ahead and leaves
    Then the first request is told of it
