Feature: Prompts are split into pieces keyed by their whole prefix

  Scenario: Pieces end where levels end
    Given a prompt of 9000 characters with levels ending at 4500 and 6000
    Then its pieces have 4000, 500, 1500, 3000 characters
    And 3 of its pieces can be cached

  Scenario: Only shared levels have the shared salt
    Given a prompt of 9000 characters with levels ending at 4500 and 6000
    When 1 of its levels is shared
    Then its salts are "shared:m, shared:m, team:t, team:t"

  # Guards against pieces of one sharing generation under the salt of another.
  @promise.no_foreign_cache
  Scenario: No shared piece has its key in two sharing generations
    Given a prompt of 12000 characters with levels ending at 4000 and 8000
    When 2 of its levels is shared
    Then its salts in generation 7 are "shared.7:m, shared.7:m, team:t"
    And no key in generation 7 is one of generation 0 or 8
    And neither is a key by which targets are ranked

  Scenario: Level ends outside the prompt or out of order are ignored
    Given a prompt of 5000 characters with levels ending at 3000 and 2000
    Then its pieces have 3000, 2000 characters

  Scenario: Teams have equal keys only for shared levels
    Given a prompt of 12000 characters with levels ending at 4000 and 8000
    When 1 of its levels is shared
    Then teams "a" and "b" have 1 equal keys and then none

  Scenario: Keys differ between weights versions
    Given a prompt of 12000 characters with levels ending at 4000 and 8000
    Then weights "1" and "2" have no key in common

  Scenario: Keys equal those that the engine computes
    Then any prompt has the keys that the engine computes

  Scenario: Prompts with different images or tool calls differ
    Then a chat with an image has the prompt that the engine sees
    And chats with other images or tool calls have other prompts
