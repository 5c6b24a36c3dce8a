Feature: Daemons that lose messages, each other and themselves still keep to limits together
  Runs over the daemons' own links in virtual time, with lost datagrams, daemons that are cut off or restart, targets that
  change their limits, restart under their ids or reuse addresses. `scripts/fuzz` runs more seeds and sizes.

  Scenario: Random runs of 8 daemons
    When random runs of 2 data centres of 4 daemons are made with seeds 1 to 16
    Then no target got more than its limit tolerates
    And 3 s after the limits had ended, their targets got at least 0.7 of an even share
    And no daemon sent more than 100 bytes per second for limits

  Scenario: A random run of 64 daemons
    When random runs of 4 data centres of 16 daemons are made with seeds 7 to 7
    Then no target got more than its limit tolerates
    And no daemon sent more than 100 bytes per second for limits

  Scenario: Daemons that all start anew keep to limits that their predecessors knew
    When random runs of 2 data centres of 4 daemons, which all restart 2 times, are made with seeds 1 to 10
    Then no target got more than its limit tolerates

  Scenario Outline: Runs without a part of the mechanism exceed what is tolerated
    When random runs of 2 data centres of 4 daemons are made with seeds 1 to 5, but <variant>
    Then some targets got more than their limits tolerate

    Examples:
      | variant                                  |
      | daemons ignore limits                    |
      | each daemon takes the whole limit        |

  Scenario Outline: A limited target gets most of its limit if the demand is higher
    Given <daemons> daemons and 2 targets with a limit of <limit> per s among 6, with a demand of <demand> per s
    Then each limited target gets at least 0.7 of its limit

    Examples:
      | daemons | limit | demand |
      | 8       | 1     | 60     |
      | 8       | 0.5   | 60     |
      | 8       | 6     | 90     |
      | 32      | 2     | 60     |
