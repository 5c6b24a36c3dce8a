Feature: Every lost request has exactly one cause
  Logs and counters give the same causes.

  Scenario Outline: The cause of a request that finds no target
    Given <open> groups that serve its model, of which <full> are full and <tried> were tried
    Then a request that finds no target has the cause "<cause>"

    Examples:
      | open | full | tried | cause        |
      | 0    | 0    | 0     | no-group     |
      | 3    | 3    | 0     | groups-full  |
      | 2    | 0    | 2     | groups-tried |
      | 3    | 2    | 1     | groups-full  |

  Scenario Outline: The cause of a late stream
    Given a route with an objective of 0.3 s and a pause limit of 0.2 s
    When a stream waits <slot> s for a slot and takes <first> s to its first event with pauses of <pause> s and <attempts> attempts
    Then the cause of its delay is "<cause>"

    Examples:
      | slot | first | pause | attempts | cause            |
      | 0.0  | 0.29  | 0.19  | 1        | None             |
      | 0.2  | 0.40  | 0.0   | 1        | late-place       |
      | 0.0  | 0.40  | 0.0   | 2        | late-retry       |
      | 0.0  | 0.40  | 0.3   | 1        | late-first-event |
      | 0.0  | 0.20  | 0.3   | 2        | late-pause       |

  Scenario: The account of a log counts each request once
    Given logs in which 4 requests end once each, with the causes served, no-group, late-pause and caller-gone
    Then the account has each of them once, by route and second
    And a request that ends twice, or never, is reported

  Scenario: A model that loses its last group is logged, and so is its return
    Given a daemon that sees 2 groups of a model
    When both groups end, and one returns after 7 s
    Then the log says that the model is unserved, and served again after 7 s
    And the metrics contain the numbers of groups and engines
