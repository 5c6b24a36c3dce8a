Feature: Streams at sound targets that pause are answered whole by daemon processes
  Four daemons with streams of both kinds in flight. Groups are silent for a second or two at once, in part and in turn.

  Scenario: No stream is cut while all its targets pause and configurations come into force
    Given a platform with four daemons, whose engines answer nothing during a pause
    And 3 busy processes
    When callers stream during all changes of the configuration and all pauses
    Then streams of both kinds were in flight in each pause, before their first event and after it
    And each stream that was passed on to a target is whole or has used its time
    And no stream has used its time
    And all daemons have had each configuration in force

  Scenario: No stream is cut while all its targets pause for longer than a coordinator asks them twice
    Given a platform with four daemons, whose engines answer nothing during a pause
    When callers stream during changes of the configuration and pauses of 2.4 s to 3.4 s
    Then each stream that was passed on to a target is whole or has used its time
    And no stream has used its time

  Scenario Outline: No stream is cut by <disturbances> alone
    Given a platform with four daemons, whose engines answer <answers> during a pause
    When callers stream during <disturbances> alone
    Then each stream that was passed on to a target is whole or has used its time
    And no stream has used its time

    Examples:
      | disturbances                 | answers         |
      | changes of the configuration | nothing         |
      | pauses                       | status requests |
