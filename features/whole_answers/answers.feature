Feature: Callers get complete answers to their own requests
  Engines answer late, for another request, with tokens left out or repeated, or without the end; groups fail
  during streams.

  Scenario: Invalid engine answers under load do not reach callers
    When 8 random answer runs are made from seed 0
    Then every answer was complete and belonged to its request
    And every site served all possible groups again

  Scenario: The oracle detects a relay without checks
    When answer runs are made with a relay that ignores attempt and offset at seeds 0
    Then a violation was found

  Scenario: The relay passes on a prefix of the true answer for any input
    Then no sequence of events makes the relay pass on anything else
