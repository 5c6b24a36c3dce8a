Feature: What the choice among targets rests on

  Scenario: Without a cost the same targets are chosen with the same random numbers
    When 3000 random choices are made without a cost
    Then they and the random numbers used are those of the choice by requests in flight

  Scenario: A nearly full target costs more, and a full one a wait for a slot
    Then a request costs more at a target with 12 than with 2 in flight
    And a request costs at least 1.5 times as much with 26 as with 12 in flight

  Scenario: Large requests go where this daemon's requests leave room in memory
    Given targets of 6000 tokens of memory, one of which has a request of 4000 from here
    Then 200 requests of 5880 tokens all go to the other target
    And requests of 5880 tokens are still placed if both have such a request

  Scenario: A target that stops answering looks slow before its request has ended
    Given a request that is expected to have its first event after 0.05 s
    Then the waiting request shows no slow target after 0.2 s
    And the waiting request shows a slow target after 1.0 s

  Scenario: An observation fades, so that the target is tried again
    Given a target that was observed 4 times slower
    Then it is slow at once and not after 5 s

  Scenario: A target in a new group or incarnation has not been observed
    Given a target that was observed 4 times slower
    Then the target has a normal speed in another epoch and incarnation

  Scenario: Speeds of targets that are gone are forgotten
    Given a target that was observed 4 times slower
    When it is no longer listed
    Then it has a normal speed

  Scenario: What is wrong for all targets makes none of them slow
    Given requests to 12 targets that all take 4 times as long as declared
    Then no target is slow

  Scenario: Several voices outweigh one
    Given three daemons that tell factors 400, 1 and 1 of a target
    Then the factor that counts is 1

  Scenario: What is told is bounded and expires
    When a daemon tells a factor of 1000000000 of 500 targets
    Then 64 factors of 4 count at once, and none after 2 s

  Scenario Outline: A target's own statement of load
    When a target states the load "<value>"
    Then it is <meaning>

    Examples:
      | value      | meaning                     |
      | 3,0,8      | taken as 3 requests         |
      | 5,4,8      | taken as 9 requests         |
      |            | ignored with one log line   |
      | 3,0        | ignored with one log line   |
      | -1,0,8     | ignored with one log line   |
      | nan,0,8    | ignored with one log line   |
      | 1e3,0,8    | ignored with one log line   |
      | 3,0,8;3,0,8 | ignored with one log line  |

  Scenario: Statements of load mean nothing while requests in flight are compared
    When a target states the load "x" to a daemon that compares requests in flight
    Then nothing is logged

  Scenario Outline: Sizes that callers state wrongly count as none
    Then a request with the token usage "<value>" is taken for one of <size> tokens

    Examples:
      | value        | size |
      | 1460,80      | 1540 |
      |              | 0    |
      | -5,80        | 0    |
      | 1460         | 0    |
      | nan,inf      | 0    |
      | 1460,80,1    | 0    |
      | 99999999999,1 | 0   |
