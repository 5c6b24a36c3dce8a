Feature: cowslip-entry as separate processes on the users' platform
  Three daemons in front of a small platform that the tests run. The engines record executions in
  partial or overlapping groups; callers check each byte. Steps wait for conditions, never for fixed times.

  Scenario: Groups form, and callers get complete streams and plain answers
    Given a platform with three daemons, whose groups serve
    When 12 callers stream
    Then every stream is complete
    And a lookup is answered, an unknown key and an unknown path are refused
    And no engine ran anything in a partial group or in two groups

  Scenario: A crash of a group member interrupts no stream
    Given a platform with three daemons, whose groups serve
    When 12 callers stream and a member of a serving group crashes meanwhile
    Then every stream is complete
    And the group serves again with another member
    And no engine ran anything in a partial group or in two groups

  Scenario: A group is repaired although the coordinator was killed before
    Given a platform with three daemons, whose groups serve
    When the coordinator is killed
    And 8 callers stream at the others and a member of a serving group crashes meanwhile
    Then every stream is complete
    And the group serves again with another member

  Scenario: A planned stop interrupts no stream
    Given a platform with three daemons, whose groups serve
    When 12 callers stream and a daemon is shut down meanwhile
    Then every stream is complete
    And the daemon ends with exit code 0

  Scenario: Idle connections do not delay a planned stop
    Given a platform with three daemons, whose groups serve
    When callers keep idle connections to a daemon that is shut down
    Then the daemon ends with exit code 0 within 4.5 s

  Scenario: A revoked key is refused, and streams go on without the store
    Given a platform with three daemons, whose groups serve
    When the key is replaced by another
    Then every daemon eventually refuses the old key and accepts the new one
    When the store becomes unreachable
    And 8 callers stream
    Then every stream is complete

  Scenario: Broken connections to a plain target run no booking twice
    Given a platform with three daemons, whose groups serve
    When 20 bookings are made and one plain target closes every connection
    Then no booking ran twice, and none that was reported as not run has run

  Scenario: Groups survive a restore of the store to the time before they were planned
    Given a platform with three daemons, whose groups serve
    When 12 callers stream and the store is restored to its initial state
    Then every stream is complete
    And the same groups serve and the store holds their plans again
    And the store holds the registrations of all daemons again
    When the coordinator is killed
    And 8 callers stream at the others and a member of a serving group crashes meanwhile
    Then every stream is complete
    And the group serves again with another member
    And no engine ran anything in a partial group or in two groups

  Scenario: A reload signal during the start does not end the program
    When only the first lines of the program have run
    Then SIGHUP is ignored

  Scenario Outline: A daemon whose address is taken logs the cause before it exits
    Given another program listens on the address for <which> of a daemon
    When the daemon runs until it ends
    Then it ends with exit code 1 and logs that the address is taken

    Examples:
      | which     |
      | front     |
      | directory |
      | ready     |
      | peer      |
