Feature: Requests are placed by the expected time at targets
  Several daemons over simple fake targets, in their own time; counts of the others are old.

  Scenario Outline: A third of the targets is four times slower, and requests are kept away from it
    Given <daemons> daemons and <targets> targets that get <rate> requests a second
    And every third target is 4 times slower
    And counts of other daemons are <age> s old
    When the requests are placed by requests in flight and by expected time
    Then at most <share> times as many are late as by requests in flight
    And at most 0.07 of the requests after 3 s go to slow targets
    And slow targets still get some requests

    Examples:
      | daemons | targets | rate | age | share |
      | 8       | 12      | 45   | 1.0 | 0.45  |
      | 8       | 12      | 45   | 0.3 | 0.45  |
      | 77      | 40      | 160  | 1.0 | 0.55  |

  Scenario: At 77 daemons what each one observes itself is not enough
    Given 77 daemons and 40 targets that get 120 requests a second
    And every third target is 4 times slower
    And counts of other daemons are 1.0 s old
    When the requests are placed by expected time with and without what others tell
    Then at most 0.6 times as many are late with it

  Scenario Outline: Equal targets are loaded as evenly as by requests in flight
    Given <daemons> daemons and <targets> targets that get <rate> requests a second
    And counts of other daemons are 1.0 s old
    When the requests are placed by requests in flight and by expected time
    Then no more are late than by requests in flight
    And the busiest target has at most <busiest> times the mean

    Examples:
      | daemons | targets | rate | busiest |
      | 8       | 12      | 65   | 2.0     |
      | 77      | 40      | 220  | 2.4     |

  Scenario: Targets that turn slow are avoided soon, and used again soon after they recover
    Given 8 daemons and 12 targets that get 45 requests a second
    And every third target is 4 times slower from 5 s to 10 s
    And counts of other daemons are 1.0 s old
    When the requests are placed by requests in flight and by expected time
    Then at most 0.1 of the requests from 6.5 s to 10 s go to slow targets
    And at least 0.2 of the requests from 11 s to 13 s go to slow targets

  Scenario Outline: Plain targets of few slots, a third of them three times slower
    Given <daemons> daemons and 5 plain targets that get 120 requests a second
    And every third target is 3 times slower
    And counts of other daemons are <age> s old
    When the requests are placed by requests in flight and by expected time
    Then at most <share> times as many are late as by requests in flight

    Examples:
      | daemons | age | share |
      | 8       | 1.0 | 0.4   |
      | 8       | 0.3 | 0.45  |
      | 39      | 1.0 | 0.4   |

  Scenario: Targets that have just started get less
    Given 8 daemons and 12 targets that get 50 requests a second
    And 2 targets have just started and are three times slower
    And counts of other daemons are 1.0 s old
    When the requests are placed by requests in flight and by expected time
    Then at most 0.2 times as many are late as by requests in flight

  Scenario: Counts that stop arriving leave the observed speeds
    Given 8 daemons and 12 targets that get 45 requests a second
    And every third target is 4 times slower
    And counts of other daemons stop at 4 s
    When the requests are placed by requests in flight and by expected time
    Then at most 0.5 times as many are late as by requests in flight

  Scenario Outline: A daemon that finds all targets slow does not starve them
    Given <daemons> daemons and <targets> targets that get <rate> requests a second
    And 1 daemon tells that all targets are slow
    When the requests are placed by requests in flight and by expected time
    Then at most <late> requests are late
    And every target gets at least 0.5 times the mean of requests

    Examples:
      | daemons | targets | rate | late |
      | 8       | 12      | 65   | 16   |
      | 77      | 40      | 160  | 5    |
