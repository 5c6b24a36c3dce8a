Feature: Decisions about requests in progress
  Pure decisions and small components in simulated time.

  Scenario Outline: A request is retried only where a second run is ruled out or allowed
    Given a route whose requests <may> be retried, with 2 attempts
    When an attempt fails with <error> after <runs> possible runs
    Then a retry is allowed: <retry>, and the status without one is <status>

    Examples:
      | may    | error                  | runs | retry | status |
      | may    | TargetRefused          | 0    | yes   | 503    |
      | may    | TargetUnreachable-sent | 1    | yes   | 502    |
      | may    | IncompleteResponse     | 2    | no    | 502    |
      | may    | TargetSilent           | 1    | yes   | 502    |
      | cannot | TargetRefused          | 0    | yes   | 503    |
      | cannot | TargetUnreachable      | 0    | yes   | 503    |
      | cannot | TargetUnreachable-sent | 1    | no    | 502    |
      | cannot | MalformedResponse      | 1    | no    | 502    |
      | cannot | IncompleteResponse     | 1    | no    | 502    |

  Scenario: Retries of all daemons together stay within the budget of a service
    Given 8 daemons with a shared ratio of 0.2 and slack of 134 in 10 s
    When each receives 85 requests for one service in 10 s and tries to retry all
    Then the total of retries is at most 0.2 of the requests plus 134
    And another service still has its own budget

  Scenario: A silent target is detected by its streams, a busy one is not suspected
    Given a target with 13 slots and two streams, one of which has started
    Then after 0.2 s of silence neither stream is reported
    And after 0.4 s of silence the started stream is reported and the target suspected
    And a stream that is queued behind others is given 3 s
    And a stream whose target sends again is no longer reported

  Scenario Outline: A silent stream is aborted only once its target or its group has ended
    Given a stream at a target whose group is at epoch 3
    When the list then shows <change>
    Then after <silent> s of silence the stream is <outcome>

    Examples:
      | change                                          | silent | outcome |
      | the same group                                  | 3.0    | kept    |
      | the target in epoch 2                           | 3.0    | kept    |
      | the group as broken                             | 0.2    | kept    |
      | the group as broken                             | 0.4    | aborted |
      | the target in epoch 4                           | 0.4    | aborted |
      | a restart of the target                         | 0.4    | aborted |
      | no entry of the target                          | 9.0    | kept    |
      | only a target that was at its address before it | 9.0    | kept    |
      | only a target that had begun before it          | 9.0    | kept    |
      | only a target that has begun after it           | 0.2    | kept    |
      | only a target that has begun after it           | 0.4    | aborted |
      | only another target at its address              | 0.4    | aborted |

  Scenario Outline: A silent stream is aborted if its target has no entry and its host answers nothing
    Given a stream at a target whose group is at epoch 3
    When the list then shows <change>
    And its host answers nothing
    Then after <silent> s of silence the stream is <outcome>

    Examples:
      | change                 | silent | outcome |
      | the same group         | 9.0    | kept    |
      | no entry of the target | 0.9    | kept    |
      | no entry of the target | 1.1    | aborted |

  Scenario: A suspected target is chosen again once its group has a new epoch
    Given a suspected head of group g1 at epoch 3
    Then it is not chosen while another target serves
    And it is chosen if no other target serves
    When its group is at epoch 4
    Then it is chosen

  Scenario: A target that falls silent repeatedly is avoided longer each time
    Given a target that was found silent three times in a row
    Then it is avoided for 1 s, 2 s and 4 s

  Scenario: The head of an outdated epoch of a group is not chosen
    Given two heads that are listed as open for g1, at epochs 3 and 5
    Then only the one at epoch 5 is chosen

  Scenario: A burst is spread over the groups although counts of other daemons are stale
    Given 8 daemons that see each other's counts 0.5 s late, and 6 groups
    When 200 requests a second arrive for 3 s, each for 0.7 s
    Then no group ever has more than twice its even share
    And choosing the least loaded of all groups would give some group a larger share

  Scenario: An error in the settings names the key
    Given settings of cowslip-entry without a store and with an unknown key
    Then the error names the missing section and suggests the intended key

  Scenario: Logging never waits for a slow reader, and reports dropped lines
    Given a log queue of 10 lines whose reader has stopped
    When 25 events are logged and the reader resumes
    Then the first 10 lines are read, and then a line that 15 were dropped
