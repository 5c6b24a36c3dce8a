Feature: Streams find places where they are answered on time
  The daemon's own decisions, over a play of requests at groups.

  Scenario: Callers that wait for different times are not taken for late ones
    Given a route with 5 s for an answer and an objective of 0.2 s
    When 40 new requests come with budgets from 4.3 to 5.0 s
    Then a new request with a budget of 4.3 s can be on time
    And a request that comes again with a budget of 3.0 s cannot

  Scenario: Where all callers wait alike, a short budget tells of a short wait
    Given a route with 5 s for an answer and an objective of 0.2 s
    When 40 new requests come with budgets from 5.0 to 5.0 s
    And 60 requests come again with budgets from 2.0 to 3.0 s, one new one to each three
    Then a request that comes again with a budget of 4.7 s cannot

  Scenario: What is learned of routes stays bounded as configurations change
    When requests of 1200 routes come, one after the other
    Then budgets of 1000 routes are kept

  Scenario: A late request takes a free place, one that can be on time may queue a little
    Given a group that runs 15 requests at once
    Then a late request is sent to it while it has 14, and not while it has 15
    And one that can be on time is sent to it while it has 17, and not while it has 18

  Scenario: More requests than groups run are answered on time as far as there are places
    Given 8 groups that run 13 requests at once, for 0.6 s each, and an objective of 0.3 s
    When 1.1 times as many requests come as they run, for 20 s
    Then at least 1.5 times as many are on time as with a queue of 13 at each group
    And at most a sixth fewer are answered in all
