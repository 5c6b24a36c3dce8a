Feature: Models get their share of groups even if domains are listed late
  The production code runs on an emulated site whose domains are listed one after the other.

  Scenario: Each model has most of its groups when the traffic begins
    Given the experiment "late-domains"
    When it is played with seeds 0 to 15
    Then each model has at least 6 groups when the traffic begins, on 48 engines
    And the oracle of the groups saw nothing
