Feature: Separate processes under kills, freezes, cuts and planned stops
  The same promises over real sockets. Conditions are waited for, never durations.

  Background:
    Given a site of 3 gateways and 3 controllers
    And the demo configuration with 4 groups serving

  Scenario: A member dies under streams, then another one
    When 30 crew leads stream while two members die one after the other
    Then each answer is whole or says that it is not
    And most of the streams were resumed and whole
    And 4 groups serve

  Scenario: A controller is frozen past its lease and wakes
    When the holder of shard d1 is frozen until another holds it, and wakes
    Then 4 groups serve
    And every VM belongs to one group at most
    And no engine that checks fencing tokens took an old order

  Scenario: A gateway is killed with bookings in flight
    When 12 bookings with minted keys run slowly and their home g1 is killed
    And every booking is repeated at the other gateways
    Then every booking ran at most once
    And no repeat was run again

  Scenario: A planned stop of a gateway under streams cuts nothing
    When g1 is told to stop under 20 streams and callers keep its address
    Then each gets the whole answer to its own request
    And g1 ended with exit code 0
    And a booking made at g1 is still known at g2

  Scenario: A long outage of the table stops edits, not service
    When the table goes down
    Then crew leads get whole answers for longer than a lease lasts
    And an edit is refused and says that nothing was changed
    When the table comes back
    Then an edit is in force everywhere

  Scenario: An edit while a daemon is frozen
    When g3 is frozen and an edit is made
    Then the edit is in force everywhere within 25 seconds
    When g3 wakes
    Then g3 serves only the new revision

  Scenario: Two operators race on one object
    When two operators change the same label at once from the same revision
    Then one edit is made and the other names it

  Scenario: A whole fabric domain is drained under streams
    When domain d1 is drained under 10 streams
    Then each gets the whole answer to its own request
    And no group has a member in d1
    When the drain is undone
    Then 4 groups serve

  Scenario: Without a planned stop, streams are cut
    When g1 is killed under 20 streams
    Then some stream was cut, and none of them was taken for whole

  Scenario: A caller that leaves frees its place at the engine
    When a caller leaves a stream of 5000 tokens after the first
    Then no engine runs anything within 10 seconds
