Feature: Coordinators that follow one another keep to the ceiling of load starts

  Scenario Outline: Coordinators that are lost in turn do not start the loads of a window again
    Given a ceiling of <rate> load starts per second, and more engines to be loaded
    When a coordinator is lost every <interval> s, and the next one takes over at once
    Then no window of 5 s has more load starts than the ceiling allows

    Examples:
      | rate | interval |
      | 1    | 1.2      |
      | 4    | 1.2      |
      | 20   | 1.2      |
      | 20   | 2.4      |
      | 20   | 0.3      |

  Scenario: A coordinator that goes on starts half of the loads of the ceiling
    Given a ceiling of 4 load starts per second, and more engines to be loaded
    When a single coordinator goes on for 60 s
    Then it starts 2 loads a second
