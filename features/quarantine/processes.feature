Feature: Real processes keep a request that ends its targets from them
  Daemons run as separate processes before stand-in targets whose process ends 0.08 s after such a request has begun
  to run: their host refuses connections then, and another life listens 2 s later.

  Scenario: It comes at all daemons again and again, and others are served
    Given a platform with three daemons, whose groups serve
    When a stream that ends its targets comes at all daemons every 0.5 s for 9 s, beside other callers
    Then no more than 3 targets get it later than 3 s after the third crash
    And its last callers are told within 0.5 s that it has not run, and when it is tried again
    And in the last 3 s all others got whole streams
    When all daemons are killed and start again
    Then it is refused by all of them, and no target ends

  Scenario: A plain target is ended by a booking
    Given a platform with three daemons, whose groups serve
    When a booking that ends its targets comes at all daemons every 0.5 s for 9 s, beside other callers
    Then no more than 3 targets get it later than 3 s after the third crash
    And its last callers are told within 0.5 s that it has not run, and when it is tried again
