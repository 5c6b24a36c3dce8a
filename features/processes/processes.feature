Feature: Separate processes under crashes, pauses, outages and planned stops
  The guarantees hold over real sockets. Steps wait for conditions, never for fixed times.

  Background:
    Given a site of 3 gateways and 3 controllers
    And the demo configuration with 4 groups serving

  Scenario: Crashes of two group members during streams corrupt no answer
    When 30 crew leads stream while two members crash one after the other
    Then each answer is complete or reports that it is not
    And most of the streams were resumed and complete
    And 4 groups serve

  Scenario: A controller that was paused past its lease disturbs no group
    When the holder of shard d1 is paused until another one holds it, and resumed
    Then 4 groups serve
    And every VM belongs to one group at most
    And no engine that checks fencing tokens accepted an outdated order

  Scenario: Bookings in flight at a killed gateway run at most once
    When 12 slow bookings with minted keys run and their home g1 is killed
    And every booking is repeated at the other gateways
    Then every booking ran at most once
    And no repeated booking was executed again

  Scenario: A planned stop of a gateway interrupts no stream and loses no booking
    When g1 is shut down during 20 streams and callers keep its address
    Then each gets the whole answer to its own request
    And g1 ended with exit code 0
    And a booking made at g1 is still known at g2

  Scenario: A long outage of the table blocks edits but not requests
    When the table goes down
    Then crew leads get complete answers for longer than a lease lasts
    And an edit is refused and reports that nothing was changed
    When the table comes back
    Then an edit is in force everywhere

  Scenario: A paused gateway does not serve an outdated revision after an edit
    When g3 is paused and an edit is made
    Then the edit is in force everywhere within 25 seconds
    When g3 is resumed
    Then g3 serves only the new revision

  Scenario: Concurrent edits of one object do not overwrite each other
    When two operators change the same label concurrently from the same revision
    Then one edit is accepted and the refusal of the other names it

  Scenario: Draining a fabric domain interrupts no stream
    When domain d1 is drained during 10 streams
    Then each gets the whole answer to its own request
    And no group has a member in d1
    When the drain is undone
    Then 4 groups serve

  Scenario: A killed gateway interrupts streams, but none is taken for complete
    When g1 is killed during 20 streams
    Then some stream was interrupted, and no incomplete one was reported as complete

  Scenario: A caller that disconnects releases its slot at the engine
    When a caller disconnects from a stream of 5000 tokens after the first
    Then all engines are idle within 10 seconds
