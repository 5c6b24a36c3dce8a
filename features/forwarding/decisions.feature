Feature: Decisions about requests under way
  Pure decisions and small parts in fake time.

  Scenario Outline: What a failed attempt proves
    Given a route that <may> be repeated, with 2 attempts
    When the attempt ends with <error> after <runs> runs
    Then it may go on elsewhere: <again>, and the caller is told <status> if not

    Examples:
      | may    | error                  | runs | again | status |
      | may    | TargetRefused          | 0    | yes   | 503    |
      | may    | TargetUnreachable-sent | 1    | yes   | 502    |
      | may    | AnswerBroken           | 2    | no    | 502    |
      | may    | TargetSilent           | 1    | yes   | 502    |
      | cannot | TargetRefused          | 0    | yes   | 503    |
      | cannot | TargetUnreachable      | 0    | yes   | 503    |
      | cannot | TargetUnreachable-sent | 1    | no    | 502    |
      | cannot | MalformedAnswer        | 1    | no    | 502    |
      | cannot | AnswerBroken           | 1    | no    | 502    |

  Scenario: Repeats of all daemons stay within the budget of a service
    Given 8 daemons with a shared ratio of 0.2 and slack of 134 in 10 s
    When each gets 85 requests for one service in 10 s and tries to repeat all
    Then together they repeat at most 0.2 of the requests and 134 more
    And another service still has a budget of its own

  Scenario: A silent target is found out by its streams, a busy one is not
    Given a target with 13 slots and two streams, of which one has begun
    Then after 0.2 s of silence both go on
    And after 0.4 s of silence the begun one is ended and the target suspected
    And a stream that waits behind others is given 3 s

  Scenario: A target that is suspected is chosen again when its group has changed
    Given a suspected head of group g1 at epoch 3
    Then it is not chosen while another serves
    And it is chosen if no other serves
    When its group is at epoch 4
    Then it is chosen

  Scenario: A slow target is avoided longer each time
    Given a target that was found silent three times in a row
    Then it is avoided for 1 s, 2 s and 4 s

  Scenario: An old head of a group that has gone on is not chosen
    Given two heads that say they are open for g1, at epochs 3 and 5
    Then only the one at epoch 5 is chosen

  Scenario: A burst that every daemon sees late is spread over the groups
    Given 8 daemons that know each other's counts 0.5 s late, before 6 groups
    When 200 requests a second arrive for 3 s, each for 0.7 s
    Then no group ever has more than twice its even share
    And choosing the least loaded of all would have given some group more than that

  Scenario: Wrong settings name the key
    Given settings of cowslip-entry without a store and with an unknown key
    Then the error names the missing section and suggests the key that was meant

  Scenario: Logging never waits for a slow reader, and says what it dropped
    Given a log whose reader stands still, with room for 10 lines
    When 25 events are logged and the reader goes on
    Then the first 10 lines are there, and then that 15 were dropped
