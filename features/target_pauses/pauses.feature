Feature: Daemons send nothing to a target in the pause that it asked for
  Guards against heads of groups that refused all requests, asked for 3 s each time and got more requests than
  before: a target that refuses at once has nothing in flight, so it was chosen first.

  Scenario: Heads of groups that ask for pauses get no requests from the daemons that they asked
    Given an emulated site where 5 heads refuse all requests for 9 s and ask for pauses of 3 s
    When it is simulated for 16 s with seeds 1 to 3
    Then no engine gets more than 2 requests from a daemon within a pause

  Scenario: The bound holds under other faults, with short and long pauses
    When random runs with pauses are made with seeds 1 to 4
    Then no run violates the bound

  Scenario: Daemons that keep no pauses exceed the bound
    When random runs with pauses are made with seeds 1 to 4, by daemons that keep none
    Then some run violates the bound

  Scenario: Daemons return to a target one request at a time, and give it its share again within 3 s
    Given an emulated site where 4 heads refuse all requests for 5 s and ask for pauses of 2 s
    When it is simulated for 24 s with seeds 1 to 3
    Then no head gets more than 8 requests in 0.2 s after its pauses, one from each daemon
    And later than 3 s after the last refusals the heads get at least 0.7 of the requests per s that they got before

  Scenario: A target that has been tried after a pause gets no other request until it accepts one
    Given a target whose pause of 3 s has ended
    When a request is sent to it
    Then no other one is sent within 1 s, and one after that
    When a request is sent to it and accepted
    Then others are sent at once

  Scenario: The response to a request that was sent before does not end a pause
    Given a target that asks for a pause of 3 s
    When it accepts another request 1 s later
    Then it gets no request for 2 s

  Scenario: Requests that had been chosen before the pause are not sent
    Given a target that asks for a pause while a request waits for a connection to it
    Then the request is not sent, and the connection is kept for the next one

  Scenario: A caller whose targets all pause is told at once when the first of them returns
    Given targets that ask for pauses of 4 s and 2 s
    When a request for them arrives
    Then it is refused within 0.01 s, and its caller is to return after 2 s to 3 s
