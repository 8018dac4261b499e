Feature: KV cache blocks are imported where that is faster than computing them

  Scenario: Pieces that the engine evicted are imported from the store
    Given an agent beside an engine of 4 blocks with a KV store
    When a prompt of 3 shared pieces is answered and exported
    And other prompts evict it
    Then the same prompt finds 3 pieces cached by an import

  Scenario: Only pieces of the same weights and scope are found
    Given a KV store with piece "aa" of weights "1" and scope "shared:m"
    Then weights "1" and scope "shared:m" find the piece
    But weights "2" and scope "shared:m" do not find the piece
    And weights "1" and scope "team:t" do not find the piece

  Scenario: Nothing is looked up if an import would cost more than it saves
    Given a KV transfer for a store that has every piece
    When 3 pieces of 8 ms each are missing
    Then the store is not queried

  Scenario: A piece is exported once
    Given a KV transfer for a store that has every piece
    When the same 3 pieces are computed twice
    Then the store receives 3 pieces

  Scenario: A piece whose export failed is exported later
    Given a KV transfer for a store that has every piece
    When 3 pieces are computed while exports fail, and again afterwards
    Then the store receives 3 pieces

  Scenario: A store that fails does not fail the request
    Given a KV transfer for a store that has every piece
    And the store fails
    When 3 pieces of 80 ms each are missing
    Then nothing is imported
