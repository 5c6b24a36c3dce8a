Feature: Real processes keep a request that ends its targets from them
  Daemons run as separate processes in front of stand-in targets whose process exits 0.08 s after such a request has
  begun to run: their host then refuses connections, and a new incarnation listens 2 s later.

  Scenario: A stream that crashes its targets is quarantined by all daemons, and other callers are served
    Given a platform with three daemons, whose groups serve
    When a stream that crashes targets is sent to all daemons every 0.5 s for 9 s, beside other callers
    Then no more than 3 targets get it later than 3 s after the third crash
    And its last callers learn within 0.5 s that it has not run, and when it is tried again
    And in the last 3 s all other callers got complete streams
    When all daemons are killed and restarted
    Then all of them refuse it, and no target crashes

  Scenario: A plain target is ended by a booking
    Given a platform with three daemons, whose groups serve
    When a booking that crashes targets is sent to all daemons every 0.5 s for 9 s, beside other callers
    Then no more than 3 targets get it later than 3 s after the third crash
    And its last callers learn within 0.5 s that it has not run, and when it is tried again

  Scenario: Ever new streams with a part that crashes their targets are quarantined, and sound ones are served
    Given a platform with three daemons, whose groups serve
    When ever new streams with a part that crashes targets is sent to all daemons every 0.5 s for 14 s, beside other callers
    Then no more than 3 targets get one later than 3 s after the fourth crash
    And its last callers learn within 0.5 s that it has not run, and when it is tried again
    And in the last 3 s all other callers got complete streams
