Feature: An accepted revision is effective everywhere and never reverts
  Real membership nodes run over an emulated network and table in virtual time. The oracle is
  the accepted number in the table: a daemon that serves must run that revision or a newer one.

  Scenario: Random partitions, pauses, restarts, joins, outages and concurrent edits revert no revision
    When 60 random membership runs of 6 daemons are made from seed 0
    Then no daemon served an older revision than the accepted one
    And every fleet converged on its newest revision, accepted and served by all

  Scenario: No sequence of faults found by property-based search reverts a revision
    Then no sequence of faults makes a daemon serve an older revision

  Scenario Outline: The oracle detects a disabled mechanism
    When membership runs are made with <variant>
    Then some daemon served an older revision than the accepted one

    Examples:
      | variant                                         |
      | no wait after the acknowledgements              |
      | only the newest member list counted             |
      | half of a member list as a majority             |
      | serving without contact                         |
      | peers counted without learning from them        |
