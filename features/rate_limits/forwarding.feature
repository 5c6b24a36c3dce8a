Feature: Requests that a target does not accept now go to other targets, or back to the caller at once

  Scenario: A limit that is stated while the request waits for a connection withholds it
    Given a target that states a limit while a request waits for a connection to it
    Then the request is not sent, and the connection is kept for the next one

  Scenario: A request with a permit that is too old is not sent
    Given a target to which connecting takes longer than a permit is valid
    Then the request is not sent, and the connection is kept for the next one

  Scenario: A withheld request goes to another target without taking from the retry budget
    Given two targets, the first of which accepts no request now
    When a request is forwarded without any retry budget
    Then the second target answers it
    And the request counts as withheld once and as sent to one target

  Scenario Outline: If all targets accept nothing for a while, the caller is told at once when to return
    Given <count> targets of a <kind> service that accept nothing for <wait> s
    When a request with a deadline of 3 s is to be sent
    Then it gets no target within 0.01 s, because all are withheld
    And its caller is to return between 1 and 1.5 times <wait> s later, each at another time

    Examples:
      | count | kind      | wait |
      | 3     | plain     | 2    |
      | 3     | streaming | 2    |
      | 1     | streaming | 30   |

  Scenario: A stream waits for a target that accepts requests soon
    Given 3 targets of a streaming service that accept nothing for 0.3 s
    When a request with a deadline of 3 s is to be sent
    Then it gets a target after 0.3 s

  Scenario: A target that has been tried is not waited for
    Given 1 targets of a streaming service that accept nothing for 0.3 s
    When a request that was sent to all of them is to be sent again
    Then it gets no target after 0.9 s, because all groups were tried
