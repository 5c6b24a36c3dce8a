Feature: Ports of test processes

  Scenario: Concurrent test processes do not take the same port or an outgoing one
    When 4 processes take 20 ports each
    Then no port was taken twice
    And each port lies below those of outgoing connections
