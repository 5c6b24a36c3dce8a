Feature: A daemon's replica of configuration and targets, and its view of its peers
  In simulated time, over a store that fails in the same ways as the platform's.

  Scenario: The route with the longest prefix is taken, and only of the request's host
    Given routes for north /a/ and /a/b/ and for south /a/
    Then north /a/b/c goes to /a/b/ and north /a/x to /a/
    And north /x and west /a/x are unknown

  Scenario: A revoked key is refused, and public routes need none
    Given a route that needs a key and a public one, and the key k1
    Then k1 opens the first, k2 does not, and the public one needs none

  Scenario: Headers that only the system may set are not taken from callers
    When a caller sends its key, a workspace, an instance and a connection header
    Then the target gets the workspace of the key, its own instance and the remaining time

  Scenario: Entries that expire during an outage are kept until they had time to return
    Given a daemon that follows a store with the targets t1 and t2
    When the store is unavailable for 3 s and returns without t2
    Then the daemon knows t1 and t2 1 s later
    And the daemon knows t1 4 s later

  Scenario: An entry removed soon after an outage is held for 1.5 s, then removed at all daemons
    Given a daemon that follows a store with the targets t1 and t2
    When the store is unavailable for 3 s, returns, and removes t2 0.3 s later
    Then the daemon knows t1 and t2 1 s later
    And the daemon knows t1 2 s later
    And a daemon without the store that applied all its pushes knows t1

  Scenario: A held entry that a snapshot lists again stays
    Given a daemon that follows a store with the targets t1 and t2
    When t2 is removed 2.0 s after an outage and its return is seen only in a snapshot
    Then the daemon knows t1 and t2 1 s later
    And the daemon knows t1 and t2 4 s later

  Scenario: A daemon that lost the store leaves reading it to others for a while
    Given a daemon that follows a store with the targets t1 and t2
    When the store is unavailable and it then stops following it
    Then it is not current 1 s later, nor 4 s later
    And it is current 6 s later

  Scenario: After the store has dropped its history, a snapshot is read
    Given a daemon that follows a store with the targets t1 and t2
    When the store drops its history and t3 is added
    Then the daemon knows t1 t2 t3 1 s later

  Scenario: A lost push is recovered by a read from a peer
    Given a daemon that does not follow the store and has targets version 5
    When a push from version 7 to 8 arrives
    Then the push is not applied
    And the daemon reads from a peer that is ahead

  Scenario: An older configuration is never applied
    Given a daemon with configuration 7
    When a peer sends it configuration 6
    Then configuration 7 is in force

  Scenario: The healthy daemon that registered first reports, the first reporter coordinates
    Given daemons a1 a2 in north and b1 in south, registered in the order b1 a2 a1
    Then a2 reports for north, and b1 coordinates
    When b1 is silent
    Then a2 coordinates
    When a2 cannot reach the store
    Then a1 reports for north, and a1 coordinates

  Scenario: The first reporter of each data centre coordinates the groups of its domains
    Given daemons a1 a2 in north and b1 in south, registered in the order b1 a2 a1
    Then a2 coordinates the groups of north, and b1 those of south
    When b1 is silent
    Then a2 coordinates the groups of north, and of all others without a reporter
    When a2 cannot reach the store
    Then a1 coordinates the groups of north, and of all others without a reporter

  Scenario: The reporter that registered first coordinates, whichever of its data centre sent last
    Given a1 in north, and two reporters b1 and b2 in south, registered in the order b1 a1 b2
    Then b1 coordinates in the view of a1
    When b2 sends another digest
    Then b1 coordinates in the view of a1
    When b1 has been silent for longer than the liveness time-out
    Then a1 coordinates in the view of a1

  Scenario: Outdated heartbeats are ignored
    Given a heartbeat of incarnation 2 with sequence 5
    Then sequence 4 and incarnation 1 are ignored, and incarnation 3 is accepted

  Scenario: A peer is sent only what it lacks
    Given a daemon with configuration 7
    When a peer with configuration 7 and newer targets reads from it
    Then the response contains neither configuration nor targets

  Scenario: Reads of a new configuration are spread over the peers that have it
    Given a daemon that does not follow the store and has targets version 5
    When ten peers have configuration 8
    Then several of them are read first

  Scenario: An isolated daemon still counts the others
    Given daemons a1 a2 in north and b1 in south, registered in the order b1 a2 a1
    When nothing is received for 10 s
    Then a1 hears no daemon and still counts 2 others

  Scenario: A daemon that restarts after its clock jumped back is accepted
    Given a heartbeat of incarnation 2 with sequence 5
    When it is silent for 2 s and restarts as incarnation 1
    Then its heartbeat is accepted

  Scenario: A removal that one reporter holds back is applied when another pushes it
    Given a daemon that does not follow the store and knows t1 and t2 at version 5
    When a push from version 5 to 6 arrives that changes t2
    And a push from version 5 to 6 arrives that changes t2 and removes t1
    Then the daemon without the store knows t2

  Scenario: A removal that was held back is applied although newer changes have arrived
    Given a daemon that does not follow the store and knows t1 and t2 at version 5
    When a push from version 5 to 8 arrives that changes t2
    And a push from version 6 to 6 arrives that removes t1
    Then the daemon without the store knows t2

  Scenario: A late removal does not undo a later return
    Given a daemon that does not follow the store and knows t1 and t2 at version 5
    When a push from version 5 to 8 arrives that changes t1
    And a push from version 6 to 6 arrives that removes t1
    Then the daemon without the store knows t1 and t2

  Scenario Outline: A target that left just before an outage is dropped by daemons that do not follow the store
    Given a daemon that follows the store, and one that gets its changes
    When the store is away for 3 s just after it has removed a target, and <pushes>
    Then both have dropped the target 3.0 s after the return of the store

    Examples:
      | pushes                                             |
      | every push arrives                                 |
      | every first push of a removal is lost              |
      | the first daemon stops following 1 s after its return |

  Scenario: A target whose entry returns after an outage stays at all daemons
    Given a daemon that follows the store, and one that gets its changes
    When the store is away for 3 s, and the entry of a target returns 1.5 s later
    Then both know the target 4.0 s after the return of the store

  Scenario: A daemon that received all pushes keeps no removed entry when it follows the store again
    Given a daemon that follows a store with the targets t1 and t2
    When the store is unavailable, it gets pushes for 4 s, and follows the store again without t2
    Then the daemon knows t1 1 s later

  Scenario: A daemon that received no pushes keeps entries that may return
    Given a daemon that follows a store with the targets t1 and t2
    When the store is unavailable, it gets no pushes for 4 s, and follows the store again without t2
    Then the daemon knows t1 and t2 1 s later
