Feature: Every lost request has exactly one cause
  The same causes stand in the logs and in the counters.

  Scenario Outline: Why a request finds no place
    Given <open> groups that serve its model, of which <full> are full and <tried> were tried
    Then a request that finds no place is lost to "<cause>"

    Examples:
      | open | full | tried | cause        |
      | 0    | 0    | 0     | no-group     |
      | 3    | 3    | 0     | groups-full  |
      | 2    | 0    | 2     | groups-tried |
      | 3    | 2    | 1     | groups-full  |

  Scenario Outline: Why a stream is late
    Given a route with an objective of 0.3 s and pauses of 0.2 s
    When a stream waits <place> s for a place and takes <first> s to its first event with pauses of <pause> s and <attempts> attempts
    Then it is lost to "<cause>"

    Examples:
      | place | first | pause | attempts | cause            |
      | 0.0   | 0.29  | 0.19  | 1        | None             |
      | 0.2   | 0.40  | 0.0   | 1        | late-place       |
      | 0.0   | 0.40  | 0.0   | 2        | late-retry       |
      | 0.0   | 0.40  | 0.3   | 1        | late-first-event |
      | 0.0   | 0.20  | 0.3   | 2        | late-pause       |

  Scenario: The account of logs adds up
    Given logs in which 4 requests end once each, for the causes served, no-group, late-pause and caller-gone
    Then the account has each of them once, by route and second
    And a request that ends twice, or never, is told

  Scenario: A model that loses its last group is told, and when it is served again
    Given a daemon that sees 2 groups of a model
    When both groups end, and one comes back after 7 s
    Then the log says that the model is unserved, and served again after 7 s
    And the numbers of groups and engines are on the metrics address
