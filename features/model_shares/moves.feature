Feature: Groups move to the model that has more work
  The production coordinator with emulated engines in virtual time: 6 domains of 8 engines,
  models of 4 and 2 engines with 0.67 and 0.33 of the work, 13 slots for each group. Requests of
  small fill its 8 groups from 10 s after the start on.

  Scenario: Engines move before the work of a model is lost, a part of them at a time
    Given shares of the engines follow the observed work
    When small fills its groups for 28 s
    Then small has 14 groups at the end and large 5
    And small never has fewer groups than at first
    And at most 2 groups of large change over at a time
    And no engine is idle at the end
    And no group moved back

  Scenario: First moves need no load, as some hosts already store the weights
    Given shares of the engines follow the observed work
    And loads take 16 s and 12 s, and small fills its groups only after 36 s
    When small fills its groups for 16 s
    Then small has 12 groups at most 14 s after its groups are full

  Scenario: With declared shares everything stays
    When small fills its groups for 15 s
    Then small has 8 groups at the end and large 8
    And the row of shares was neither read nor written

  Scenario: A coordinator dies between giving up a group and forming its successors
    Given shares of the engines follow the observed work
    When the coordinator dies as the first group changes over, and another one takes over
    Then small has 14 groups at the end and large 5
    And no engine was in two groups
    And no engine is idle at the end

  Scenario: A domain that serves two models leaves no engine idle
    A domain of 18 engines holds two groups of 8; its other two engines are too few for a third.
    Given shares of the engines follow the observed work
    And 4 domains of 18 engines and models of 8 and 2 engines
    When small fills its groups for 25 s
    Then one domain has 1 group of large and 5 of small
    And no group moved back
