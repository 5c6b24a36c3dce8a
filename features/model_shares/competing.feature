Feature: Coordinators that compete while shares change
  Random runs of the production coordinator, as in group_plans/duels.feature.

  Scenario Outline: No engine is in two groups while its domain changes over
    Two coordinators may each believe to be the only one; the agreed shares change every 2 s to 8 s.
    When <number> runs of competing coordinators are made from seed <first> on a <site> site
    Then the oracle found no partial group and no engine in two groups
    And groups served in every run

    Examples:
      | site                                  | number | first |
      | mixed with changing shares            | 5      | 0     |
      | divided with changing shares          | 3      | 0     |
      | divided restored with changing shares | 2      | 20    |
