Feature: Requests that leave the queue take nothing with them

  Scenario: A caller that leaves while it waits does not keep its place or a slot
    Given a full group and requests that wait for it
    When the first of them is cancelled and a slot is freed
    Then the next one gets the slot at once
    And the request that was cancelled counts nowhere

  Scenario: A caller that leaves in the moment it is given a slot passes it on
    Given a full group and requests that wait for it
    When a slot is freed and the request that gets it is cancelled in the same moment
    Then the next one gets the slot at once

  Scenario: The deadline of a request passes while it waits
    Given a full group and requests that wait for it
    When the deadline of the first of them passes
    Then it ends at its deadline and the others go on waiting

  Scenario: A daemon ends with a queue
    Given a full group and requests that wait for it
    When all requests of the daemon are cancelled
    Then nothing waits, nothing is in flight, and a later request is placed at once

  Scenario: A freed slot wakes one request, the most urgent
    Given a full group and requests that wait for it
    When one slot is freed
    Then one request has got a slot, the most urgent

  Scenario: A withheld target that becomes usable is used without a report
    Given a group that is withheld for 0.4 s and a request that waits for it
    Then the request is placed 0.4 s later

  Scenario: A group that opens is used at once
    Given no group and a request that waits for one
    When a group opens after 0.3 s
    Then the request is placed 0.3 s later

  Scenario Outline: The part takes effect only where priorities of a service differ
    Given routes of priorities <routes> to one service and workspaces of priorities <workspaces>
    Then the service has <turns>

    Examples:
      | routes | workspaces | turns    |
      | 1      | -          | no turns |
      | 1,1    | -          | no turns |
      | 0,1    | -          | turns    |
      | 1,1    | 0          | no turns |
      | 1,1    | 0,none     | turns    |
      | 1,1    | 1,none     | no turns |
      | 0,1    | 2          | no turns |

  Scenario: Values without sense do not stop the queue
    Given a full group and requests that wait for it
    When counts of peers are negative, priorities huge, and a time budget is over
    Then requests with sound values are still placed
