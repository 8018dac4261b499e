Feature: Kept KV cache is imported where that beats computing it

  Scenario: Pieces that the engine evicted come back from the store
    Given an agent beside an engine of 4 blocks with a store
    When a prompt of 3 shared pieces is answered and kept
    And other prompts evict it
    Then the same prompt finds 3 pieces cached by an import

  Scenario: Only pieces of the same weights and scope are taken
    Given a store that keeps piece "aa" of weights "1" and scope "shared:m"
    Then weights "1" and scope "shared:m" find the piece
    But weights "2" and scope "shared:m" do not find the piece
    And weights "1" and scope "team:t" do not find the piece

  Scenario: Nothing is looked up where importing costs more
    Given a mover for a store that has everything
    When 3 pieces of 8 ms each are missing
    Then the store is not asked

  Scenario: A piece is put into the store once
    Given a mover for a store that has everything
    When the same 3 pieces are computed twice
    Then the store gets 3 pieces

  Scenario: A piece that could not be put into the store is put there later
    Given a mover for a store that has everything
    When 3 pieces are computed while it fails, and again when it works
    Then the store gets 3 pieces

  Scenario: A store that fails does not fail the request
    Given a mover for a store that has everything
    And the store fails
    When 3 pieces of 80 ms each are missing
    Then nothing is imported
