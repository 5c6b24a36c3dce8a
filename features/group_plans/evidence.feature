Feature: Evidence about engines is as old as it is
  Reports lag by some tenths of a second, and an order to leave that is answered as done
  counts like any other.

  Scenario: An engine that left counts as away from the first report that says so
    Given an engine whose reports say from 10.0 s that it is in no group, with 5 orders
    When a report asked for at 14.8 s says the same
    Then it has been away for 4.8 s

  Scenario: An engine that took an order meanwhile has not stayed away
    Given an engine whose reports say from 10.0 s that it is in no group, with 5 orders
    When a report asked for at 14.8 s says that it is in no group, with 7 orders
    Then it has been away for 0.0 s

  Scenario: The list alone does not tell that an engine has left
    Given an engine in group g1 at epoch 3
    When the list says that it is in no group
    Then it has been away for 0.0 s

  Scenario: A lagging report does not bring back an older epoch
    Given an engine in group g1 at epoch 4
    When a report says that it is in group g1 at epoch 3
    Then it is known in epoch 4

  Scenario: After a refused order the next question waits until reports have caught up
    Given a domain whose engine refused an order at 10.0 s as its count differed
    Then nothing is asked at 10.1 s
    And it is asked at 10.4 s

  Scenario: A member of a group that is given up is asked once it may be free, not before
    Given a retired group whose head is lost, with e1 that left at 10.0 s
    Then nothing is asked at 12.0 s
    And nothing is asked at 14.4 s
    And it is asked at 14.6 s

  Scenario: Evidence that is older than a group's end does not free its members
    Given an engine whose reports say from 10.0 s that it is in no group, with 5 orders
    When a report asked for at 14.8 s says the same
    And it becomes known at 20.0 s that its group is given up
    Then it has been away for 0.0 s
    When a report asked for at 19.9 s says the same
    Then it has been away for 0.0 s
    When a report asked for at 20.1 s says the same
    And a report asked for at 20.6 s says the same
    Then it has been away for 0.5 s

  Scenario: A coordinator knows what its own orders have begun
    Given engines e1 and e2, ready in g1 at epoch 3, of which it has told e1 to open
    When a plan holds them in g2 instead
    Then e1 and e2 are told to leave g1 and nobody is joined

  Scenario: An engine is free only by a report that is newer than another's plan
    Given an engine whose reports say from 10.0 s that it is in no group, with 5 orders
    Then it is free in a domain without groups
    When another coordinator's plan without groups becomes known at 20.0 s
    Then it is not free, and is asked
    When a report asked for at 20.1 s says the same
    Then it is free in a domain without groups

  Scenario: The list alone does not tell that an engine is free
    Given an engine in group g1 at epoch 3
    When the list says that it is in no group
    Then it is not free, and is asked

  Scenario: Members of a group that still serves are not joined to another one
    Given a planned group g2 of e1 and e2, which are in the open group g1 at epoch 3
    Then e1 is told to leave g1 and nobody is joined

  Scenario: An engine that has left a group that no plan names is asked, as only a report proves it free
    Given an engine that reported group g1 and began to leave it, and no plan
    When the list says that it is in no group
    Then it is asked
    When a report asked for at 12.0 s says that it is in no group, with 6 orders
    Then it is free, and not asked any more
