Feature: All incarnations of all daemons keep to one retry budget
  Repeats are counted as they arrive, in any window.

  Scenario: Daemons that start anew do not spend the budget again
    Given daemons that share a retry budget, with random traffic
    When they are killed, replaced and joined at random, seeds 1 to 40
    Then no window has more repeats than all daemons together are allowed

  Scenario Outline: Without starts, most of the budget is used where it is needed
    Given <daemons> daemons with <rate> requests a second, which have run for a minute
    When all answers break off for 8 s
    Then at least 0.8 of the budget is used, and never more than it

    Examples:
      | daemons | rate |
      | 8       | 130  |
      | 64      | 1000 |
      | 410     | 6900 |

  Scenario Outline: Daemons that have just started can retry, within the budget
    Given <daemons> daemons with <rate> requests a second, which have all just started
    When all answers break off from the start on
    Then in each of the first 5 seconds after the first second at least <retries> requests are retried
    And no window has more repeats than all daemons together are allowed

    Examples:
      | daemons | rate | retries |
      | 8       | 130  | 8       |
      | 64      | 1000 | 64      |

  Scenario: Daemons of a large fleet can retry although each gets few requests
    Given 410 daemons with 100 requests a second, which have run for a minute
    When all answers break off for 8 s
    Then at least 0.5 of the budget is used, and never more than it

  Scenario: A service that is renamed starts with nothing saved
    Given a daemon that has saved retries for a service
    When its requests go to the service under a new name
    Then none of the saved retries can be used for the new name

  Scenario: The slack is not used before the number of daemons is known
    Given a daemon that has just started and does not know how many there are
    When it has had no requests for 20 s
    Then it cannot retry until it knows that number, and then uses its share

  Scenario Outline: A reload that changes <setting> does not exceed the budget
    Given a daemon that has saved retries for a service
    When a reload sets <setting> to <value>
    Then it can retry no more than its share of the changed budget

    Examples:
      | setting  | value |
      | ratio    | 0.02  |
      | slack    | 8     |
      | window_s | 1     |

  Scenario: A daemon that was heard before a long partition still counts
    Given a daemon that has heard two others
    When a partition has hidden one of them for 10 minutes
    Then the retry budget is shared by all three
