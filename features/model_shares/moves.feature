Feature: Groups move to the model that has more work
  The production coordinator with emulated engines in virtual time: 6 domains of 8 engines,
  models of 4 and 2 engines with 0.67 and 0.33 of the work, 13 slots for each group, loads of
  16 s and 12 s. Requests of small fill its 8 groups from 20 s after the start on.

  Scenario: Engines move before the work of a model is lost, a part of them at a time
    Given shares of the engines follow the observed work
    When small fills its groups for 50 s
    Then small has 14 groups at the end and large 5
    And small never has fewer groups than at first
    And at most 2 groups of large change over at a time
    And no engine is idle at the end
    And no group moved back

  Scenario: First moves need no load, as some hosts already store the weights
    Given shares of the engines follow the observed work
    And 40 s have passed before small fills its groups
    When small fills its groups for 30 s
    Then small has 12 groups at most 14 s after its groups are full

  Scenario: With declared shares everything stays
    When small fills its groups for 50 s
    Then small has 8 groups at the end and large 8
    And the row of shares was neither read nor written

  Scenario: A coordinator dies between giving up a group and forming its successors
    Given shares of the engines follow the observed work
    When the coordinator dies as the first group changes over, and another one takes over
    Then small has 14 groups at the end and large 5
    And no engine was in two groups
    And no engine is idle at the end

  Scenario Outline: Coordinators that compete while shares change
    Two coordinators may each believe to be the only one; the agreed shares change every 2 s to 8 s.
    When <number> runs of competing coordinators are made from seed <first> on a <site> site
    Then the oracle found no partial group and no engine in two groups
    And groups served in every run

    Examples:
      | site                                  | number | first |
      | mixed with changing shares            | 10     | 0     |
      | divided with changing shares          | 8      | 0     |
      | divided restored with changing shares | 5      | 20    |
