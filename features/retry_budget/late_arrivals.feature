Feature: Retries that targets read late keep to the retry budget
  A request that a daemon has given up may still be read by its target.

  Scenario: Targets that stand still read no more retries at once than are allowed
    Given eight daemons and nine targets as processes
    When all targets stand still for 22 s
    Then retries have arrived at the targets
    And no window has more repeats at a service than all daemons together are allowed

  Scenario: Daemons that end while targets stand still leave nothing beyond the budget
    Given daemons that share a retry budget, with random traffic
    When targets stand still while daemons are killed, replaced and joined, seeds 1 to 60
    Then no window has more repeats than all daemons together are allowed

  Scenario: Retries taken for more callers than are left keep to the budget
    When all targets stand still, and a share of the requests is left
      | daemons | rate | seconds | left |
      | 8       | 150  | 20      | 1.0  |
      | 8       | 150  | 20      | 0.3  |
      | 8       | 150  | 20      | 0.02 |
      | 8       | 150  | 90      | 1.0  |
      | 8       | 150  | 90      | 0.02 |
      | 64      | 1000 | 20      | 0.3  |
      | 64      | 1000 | 90      | 0.02 |
    Then no window has more repeats than all daemons together are allowed

  Scenario Outline: A retry that was given up counts until its target has read it
    Given a daemon that has saved retries for a service
    When it has taken all of them for requests to a target, and given them up
    And <later>
    Then it has saved retries again after a window: <saved>

    Examples:
      | later                                                   | saved |
      | nothing is heard of the target                          | no    |
      | the target answers a request that was sent before them  | no    |
      | the target answers a request that was sent after them   | yes   |
      | another target answers a request that was sent after them | no  |
      | 120 s have passed                                       | yes   |

  Scenario: Retries that were lost with their targets hold others back for one window
    Given a daemon that has saved retries for a service
    When it has sent all that it may beside a silent target, and given them up
    Then it sends none beside another silent target within a window, and some after it

  Scenario: A daemon that has started does not retry before a target has answered
    Given a daemon that has just started, and knows that there are 8
    When it gets requests for 20 s that no target answers
    Then it cannot retry before a target has answered, and can within a window after it

  Scenario: A daemon whose first requests found no target keeps what it has saved
    Given a daemon that has just started, and knows that there are 8
    When it gets requests for 20 s for which there is no target
    Then it can retry as soon as a target has answered

  Scenario: An answered request counts as read although its connection is used again
    Given a target that answers a request
    When the attempt ends, and the next one is sent on its connection at once
    Then the target counts as having read the first request
