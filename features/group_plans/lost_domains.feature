Feature: A class keeps its minimum score when all domains of its model are lost together
  The production code runs on an emulated site; the minimum is the users' highest for a class.

  Scenario: The only domains of a model are unreachable for 20 s
    Given the experiment "two-domains"
    When it is played with seeds 1 to 2
    Then each kind of request earns at least 0.42 of its worth
    And the oracle of the groups saw nothing
