Feature: A target that states that it leaves gets no further requests
  Some targets never change their entry in the list before they stop, and the list may be unavailable. A leaving target
  states it in each response; it must get no request that arrives later than the time for draining.

  Scenario Outline: Each value of the header has one meaning
    When a response has the leaving headers "<values>"
    Then its target <meaning>

    Examples:
      | values | meaning          |
      | none   | stays            |
      | 1      | leaves           |
      | 0      | states nothing   |
      | yes    | states nothing   |
      | 1;1    | states nothing   |

  Scenario: Heads of groups that state that they leave get no requests from daemons that know it
    Given an emulated site where 4 heads state that they leave and stop 6 s later
    When it is simulated for 12 s with seeds 1 to 3
    Then no daemon sends them a request later than 0.5 s after it was stated

  Scenario: Daemons that ignore the statement go on sending requests
    Given an emulated site where 4 heads state that they leave and stop 6 s later
    When it is simulated for 12 s with seeds 1 to 1, by daemons that ignore the statement
    Then some daemon sends them a request later than 2 s after it was stated

  Scenario: A target stays out of use although the list still shows it as ready
    Given a listed target that states that it leaves
    When the list shows it as ready again
    Then it is no candidate
    When it restarts under its id
    Then it is a candidate

  Scenario: Another target at its address states nothing about it
    Given a listed target
    When a response with 421 states that the target leaves
    Then it is a candidate

  Scenario: The exit of a target that has stated that it leaves is no crash
    Given a listed target that states that it leaves
    Then its exit is expected

  Scenario: Requests that had been chosen before are not sent
    Given a target that states that it leaves while a request waits for a connection to it
    Then the request is not sent, and the connection is kept for the next one

  Scenario: Real daemons send nothing to a plain target and a head that leave
    Given a platform with three daemons, whose groups serve
    When the head of a group and a plain target state that they leave, under a steady load
    Then no daemon sends them a request later than 2 s after it was told
    And all requests were answered
