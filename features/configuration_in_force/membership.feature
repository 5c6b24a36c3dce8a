Feature: An accepted revision is in force everywhere and never reverts
  The real membership nodes run over an emulated network and table in fake time.
  The oracle is the accepted number in the table: whoever serves must run it or a
  newer one.

  Scenario: Random cuts, pauses, restarts, joins, outages and racing edits
    When 60 random runs of 6 daemons are made from seed 0
    Then nobody ever served an older revision than the accepted one
    And every fleet settled on its newest revision, accepted and served by all

  Scenario: A state machine looks for a counterexample
    Then no sequence of faults makes a daemon serve an older revision

  Scenario Outline: The check fails without a mechanism
    When runs are made with <variant>
    Then some daemon served an older revision than the accepted one

    Examples:
      | variant                                         |
      | no wait after the acknowledgements              |
      | only the newest member list counted             |
      | half of a list instead of more                  |
      | serving on without contact                      |
      | peers do not tell and are counted all the same  |
