Feature: Service continues while the platform's table is down
  Scenario: Shard holders that crash during a table outage do not stop service
    Given an in-process site in virtual time with 4 groups granted
    When the table goes down permanently and the holder of each shard crashes
    Then all groups stay granted for 120 s, with gaps of at most 1 s
    And a group with a dead member is withdrawn within 4 seconds

  Scenario: Shard holders that crash while the table is up do not stop service
    Given an in-process site in virtual time with 4 groups granted
    When the holder of each shard crashes
    Then all groups stay granted for 60 s, with gaps of at most 1 s

  Scenario: A domain that recovers does not overload the weight store
    Given an in-process site in virtual time with 4 groups granted
    When all targets of domain d1 are down for 60 seconds
    Then 4 groups are granted again
    And no more than 4 loads ran concurrently
