Feature: Real processes keep to the pauses that targets ask for

  Scenario: Eight daemons send nothing to a group's head and a plain target in their pauses, and use both again afterwards
    Given a platform with eight daemons, whose groups serve
    When the head of a group and a plain target refuse all requests for 8 s and ask for pauses of 3 s, under a steady load
    Then neither got more than 2 requests from a daemon within a pause
    And all requests were answered
    And 3 s after the pauses had ended, both got at least 0.5 of an even share
