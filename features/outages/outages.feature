Feature: Service goes on while the platform's table is down
  Scenario: The holder of every shard crashes in a long outage
    Given a small site in fake time with 4 groups granted
    When the table goes down for good and the holder of each shard crashes
    Then groups stay granted for 120 s, with gaps of 1 s at most
    And a member that dies still takes its group out within 4 seconds

  Scenario: A controller crashes while the table is up
    Given a small site in fake time with 4 groups granted
    When the holder of each shard crashes
    Then groups stay granted for 60 s, with gaps of 1 s at most

  Scenario: A dark domain comes back without a rush on the weight store
    Given a small site in fake time with 4 groups granted
    When domain d1 goes dark for 60 seconds and comes back
    Then 4 groups are granted again
    And no more than 4 loads ran at once
