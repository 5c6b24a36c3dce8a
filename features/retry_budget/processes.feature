Feature: Daemons that are killed or cut from their targets keep to one retry budget
  Arrivals are counted at the targets.

  Scenario: Daemons that are killed while all targets fail do not spend the budget again
    Given a platform with four daemons as processes, which share a small retry budget
    When all targets fail all requests, and all daemons are killed twice meanwhile
    Then requests were sent again by daemons of the first and of the last incarnation
    And no window has more repeats at targets than all of them together are allowed

  Scenario: Daemons that are cut from all targets do not spend the budget again
    Given a platform with eight daemons, which share a small retry budget
    When all targets fail all requests, and five daemons are cut from them three times
    Then requests of daemons without links were relayed
    And no window has more repeats at targets than all of them together are allowed
