Feature: Daemons send nothing to a target in the pause that it asked for
  Guards against heads of groups that refused all requests, asked for 3 s each time and got more requests than
  before: a target that refuses at once has nothing in flight, so it was chosen first.

  Scenario: Heads of groups that ask for pauses get no requests from the daemons that they asked
    Given an emulated site where 5 heads refuse all requests for 9 s and ask for pauses of 3 s
    When it is simulated for 16 s with seeds 1 to 3
    Then no engine gets more than 2 requests from a daemon within a pause
