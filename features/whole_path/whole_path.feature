Feature: Declarations, groups and requests work end to end
  From an operator's declaration to a caller's complete answer, over separate processes.

  Scenario: Declared groups form, stream complete answers, and a booking runs once
    Given a site of 2 gateways and 2 controllers
    When the operator applies the demo configuration
    Then 4 groups serve
    And every VM belongs to one group at most
    When a crew lead asks gateway g1 for addresses
    Then the first address is that of g1
    When 20 crew leads stream answers at once
    Then each gets the whole answer to its own request
    When a booking is sent once without a key
    Then the booking ran 1 time
