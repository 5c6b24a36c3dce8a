Feature: Streams get slots where they are answered on time
  A daemon's own decisions, over a simulation of requests at groups.

  Scenario: Callers with different time-outs are not taken for late ones
    Given a route with a time-out of 5 s and an objective of 0.2 s
    When 40 new requests come with budgets from 4.3 to 5.0 s
    Then a new request with a budget of 4.3 s can meet the objective
    And a retried request with a budget of 3.0 s cannot

  Scenario: Where all callers have the same time-out, a shorter budget implies a wait
    Given a route with a time-out of 5 s and an objective of 0.2 s
    When 40 new requests come with budgets from 5.0 to 5.0 s
    And 60 retried requests come with budgets from 2.0 to 3.0 s, one new one to each three
    Then a retried request with a budget of 4.7 s cannot

  Scenario: Memory for budgets of routes stays bounded as configurations change
    When requests of 1200 routes come, one after the other
    Then budgets of 1000 routes are kept

  Scenario: A late request takes only a free slot, one that can meet its objective may queue
    Given a group that runs 15 requests at once
    Then a late request is sent to it while it has 14, and not while it has 15
    And one that can meet its objective is sent to it while it has 17, and not while it has 18

  Scenario: Under overload as many requests are answered on time as there are slots
    Given 8 groups that run 13 requests at once, for 0.6 s each, and an objective of 0.3 s
    When 1.1 times as many requests come as the groups can run, for 20 s
    Then at least 1.5 times as many are on time as with a queue of 13 at each group
    And at most a sixth fewer are answered in total
