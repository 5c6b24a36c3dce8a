Feature: Daemons together keep to the rate limit that a target states
  Guards against heads of groups that stated a limit of about 1 request per s and got as many as before, because no
  daemon read the statement.

  Scenario: Heads of groups that state a limit get no more than it tolerates
    Given an emulated site where 3 heads state a limit of 0.5 requests per s for 18 s
    When it is simulated for 18 s with seeds 1 to 3
    Then no limited engine gets more than its limit tolerates
