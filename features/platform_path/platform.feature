Feature: cowslip-entry as separate processes on the users' platform
  Three daemons before a small platform that the tests run. The oracle of the duels watches
  the engines; callers check each byte. Conditions are waited for, never durations.

  Scenario: Groups form, and callers get whole streams and plain answers
    Given a platform with three daemons, whose groups serve
    When 12 callers stream
    Then every stream is whole
    And a lookup is answered, an unknown key and an unknown path are refused
    And no engine ran anything in a partial group or in two groups

  Scenario: A member dies under streams
    Given a platform with three daemons, whose groups serve
    When 12 callers stream and a member of a serving group dies meanwhile
    Then every stream is whole
    And the group serves again with another member
    And no engine ran anything in a partial group or in two groups

  Scenario: The coordinator is killed, and then a member dies
    Given a platform with three daemons, whose groups serve
    When the coordinator is killed
    And 8 callers stream at the others and a member of a serving group dies meanwhile
    Then every stream is whole
    And the group serves again with another member

  Scenario: A planned stop cuts nothing
    Given a platform with three daemons, whose groups serve
    When 12 callers stream and a daemon is told to stop meanwhile
    Then every stream is whole
    And the daemon ends with exit code 0

  Scenario: Idle connections do not hold up a planned stop
    Given a platform with three daemons, whose groups serve
    When callers keep idle connections to a daemon that is told to stop
    Then the daemon ends with exit code 0 within 4.5 s

  Scenario: A key is taken away while the store turns unreachable afterwards
    Given a platform with three daemons, whose groups serve
    When the key is replaced by another
    Then soon no daemon takes the old key and all take the new one
    When the store goes away
    And 8 callers stream
    Then every stream is whole

  Scenario: A booking runs once at most
    Given a platform with three daemons, whose groups serve
    When 20 bookings are made and one plain target closes every connection
    Then no booking ran twice and none that was told not run has run

  Scenario: The store comes back as it was before the groups were planned
    Given a platform with three daemons, whose groups serve
    When 12 callers stream and the store comes back as it was before
    Then every stream is whole
    And the same groups serve and the store holds their plans again
    And the store holds the registrations of all daemons again
    When the coordinator is killed
    And 8 callers stream at the others and a member of a serving group dies meanwhile
    Then every stream is whole
    And the group serves again with another member
    And no engine ran anything in a partial group or in two groups

  Scenario: A signal to reload that comes while the program starts does not end it
    When the program has run no more than its first lines
    Then SIGHUP is ignored

  Scenario Outline: A daemon whose address is taken does not end without a word
    Given another program listens on the address for <which> of a daemon
    When the daemon runs until it ends
    Then it ends with exit code 1 and logs that the address is taken

    Examples:
      | which     |
      | front     |
      | directory |
      | ready     |
      | peer      |
