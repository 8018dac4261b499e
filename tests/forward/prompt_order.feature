Feature: Urgent prompts are read before others at the same engine

  Scenario Outline: Ranks go first, then those with little time
    Given routes "brief" of rank <a> and 500 ms, "chat" of rank <b> and 2000 ms
    Then the order of levels is <order>
    And only "<first>" is read first

    Examples:
      | a | b | order       | first |
      | 0 | 2 | brief, chat | brief |
      | 1 | 1 | brief, chat | brief |
      | 2 | 0 | chat, brief | chat  |

  Scenario: A team's rank goes before the time of its requests
    Given routes "brief" of rank 1 and 500 ms, "chat" of rank 1 and 2000 ms
    Then a request for "chat" of a team of rank 0 is read before "brief"

  Scenario Outline: What is read before a prompt
    Given an engine with <urgent> urgent and <other> other tokens to read
    Then <ahead> tokens are read before an urgent prompt
    And <all> tokens are read before another prompt

    Examples:
      | urgent | other | ahead | all   |
      | 0      | 0     | 0     | 0     |
      | 3000   | 0     | 3000  | 3000  |
      | 3000   | 1000  | 4000  | 4000  |
      | 3000   | 50000 | 5048  | 53000 |

  Scenario: Urgent tokens of other entries are counted, and read first
    Given another entry reported 30000 tokens, 8000 of them urgent, 100 ms ago
    Then 6048 tokens are read before an urgent prompt

  Scenario: A prompt that can wait takes longer while urgent ones come
    Given urgent prompts take 0.5 of the time of all engines
    Then a prompt of 8000 tokens that can wait takes 2 times as long

  Scenario: The part of urgent prompts is learned from what is sent
    When an entry of 4 sends urgent prompts of 2000 tokens each 100 ms
    Then they take 0.4 of the time of engines that read 200 tokens a ms
