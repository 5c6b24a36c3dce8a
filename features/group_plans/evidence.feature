Feature: Evidence about an engine counts from the time of its request
  Reports lag by some tenths of a second; a leave order that is answered as done counts at
  once.

  Scenario: An engine that left counts as ungrouped from the first report that says so
    Given an engine whose reports since 10.0 s say that it is in no group, with 5 orders
    When a report requested at 14.8 s says the same
    Then it has been ungrouped for 4.8 s

  Scenario: An engine that accepted an order meanwhile has not stayed ungrouped
    Given an engine whose reports since 10.0 s say that it is in no group, with 5 orders
    When a report requested at 14.8 s says that it is in no group, with 7 orders
    Then it has been ungrouped for 0.0 s

  Scenario: The target list alone does not prove that an engine has left
    Given an engine in group g1 at epoch 3
    When the target list says that it is in no group
    Then it has been ungrouped for 0.0 s

  Scenario: A lagging report does not restore an older epoch
    Given an engine in group g1 at epoch 4
    When a report says that it is in group g1 at epoch 3
    Then its known epoch is 4

  Scenario: After a refused order the next report is requested once reports have caught up
    Given a domain whose engine refused an order at 10.0 s because its order count differed
    Then no report is requested at 10.1 s
    And a report is requested at 10.4 s

  Scenario: A report of a member of a retired group is requested once it may be free
    Given a retired group whose head is lost, with e1 that left at 10.0 s
    Then no report is requested at 12.0 s
    And no report is requested at 14.4 s
    And a report is requested at 14.6 s

  Scenario: Evidence from before a group's retirement does not free its members
    Given an engine whose reports since 10.0 s say that it is in no group, with 5 orders
    When a report requested at 14.8 s says the same
    And its group becomes known as retired at 20.0 s
    Then it has been ungrouped for 0.0 s
    When a report requested at 19.9 s says the same
    Then it has been ungrouped for 0.0 s
    When a report requested at 20.1 s says the same
    And a report requested at 20.6 s says the same
    Then it has been ungrouped for 0.5 s

  Scenario: A coordinator accounts for its own orders under way
    Given engines e1 and e2, ready in g1 at epoch 3, with an open order sent to e1
    When a plan assigns them to g2 instead
    Then e1 and e2 are ordered to leave g1 and no engine is ordered to join

  Scenario: An engine is free only by a report newer than another coordinator's plan
    Given an engine whose reports since 10.0 s say that it is in no group, with 5 orders
    Then it is free in a domain without groups
    When another coordinator's plan without groups becomes known at 20.0 s
    Then it is not free, and a report is requested
    When a report requested at 20.1 s says the same
    Then it is free in a domain without groups

  Scenario: The target list alone does not prove that an engine is free
    Given an engine in group g1 at epoch 3
    When the target list says that it is in no group
    Then it is not free, and a report is requested

  Scenario: Members of a group that still serves are not joined to another group
    Given a planned group g2 of e1 and e2, which are in the open group g1 at epoch 3
    Then e1 is ordered to leave g1 and no engine is ordered to join

  Scenario: An engine that left an unplanned group is free only after a report
    Given an engine that reported group g1 and began to leave it, and no plan
    When the target list says that it is in no group
    Then a report of it is requested
    When a report requested at 12.0 s says that it is in no group, with 6 orders
    Then it is free, and no further report is requested
