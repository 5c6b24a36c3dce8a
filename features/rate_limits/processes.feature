Feature: Real processes keep to the rate limits that targets state

  Scenario: Eight daemons keep to the limits of a group's head and of a plain target, and use both again afterwards
    Given a platform with eight daemons, whose groups serve
    When the head of a group and a plain target state a limit of 1 per s for 12 s, under a steady load
    Then neither got more than its limit tolerates
    And all requests were answered
    And 3 s after the limits had ended, both got at least 0.5 of an even share
    And each daemon logged the limits and their ends a few times at most
