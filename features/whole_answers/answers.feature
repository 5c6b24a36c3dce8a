Feature: The whole answer to one's own request
  Engines answer late, for another request, with tokens left out or repeated, or without
  the end; groups die under streams.

  Scenario: Spoiled answers under load
    When 8 answer runs are made from seed 0
    Then every answer was complete and belonged to its request
    And every site served all possible groups again

  Scenario: The check fails without the relay's checks
    When answer runs are made with a relay that ignores attempt and offset at seeds 0
    Then a violation was found

  Scenario: The relay passes on a prefix of the truth whatever the engines send
    Then no sequence of events makes the relay pass on anything else
