Feature: Ports of test processes

  Scenario: Test processes beside each other listen on ports that nobody else takes
    When 4 processes take 20 ports each
    Then no port was taken twice
    And each port lies below those of outgoing connections
