Feature: Daemon processes outlive targets whose answers have no end

  Scenario: Answers without end cost no memory, and other callers are served
    Given a platform with two daemons as processes, which have served for some seconds
    When targets whose answers have no end join, and half of the streams have no end
    Then the peak memory of the daemons stays flat, and all of them run
    And each answer with status 200 is whole, and others are failures of the daemons
    And at least 0.5 of the plain requests are served, each within 1.5 s
    And the daemons log such answers as answer-too-large

  Scenario: Many answers without end at once cost no more memory than a few
    Given a platform with two daemons as processes, which have served for some seconds
    When a target whose answers have no end joins, and 40 requests at once come to a daemon, four times
    Then its peak memory has grown by 32 MB at most
    And each answer with status 200 is whole, and others are failures of the daemons
