Feature: A class keeps its floor when the domains of its model are lost together
  The daemons' own code on an emulated site; the floor is the users' highest for a class.

  Scenario: The only domains of a model are dark for 20 s
    Given the experiment "two-domains"
    When it is played with seeds 1 to 2
    Then each kind of request earns at least 0.42 of its worth
    And the oracle of the groups saw nothing
