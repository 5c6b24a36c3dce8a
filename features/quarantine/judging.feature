Feature: Which requests are quarantined for crashes of targets, and for how long
  A target runs about ten requests at once, and all of them see it crash. Runs without a network, in virtual time.

  Scenario Outline: A request is quarantined only after enough crashes without progress
    Given these target crashes under a request: <crashes>
    Then it is quarantined: <quarantined>

    Examples:
      | crashes                                                  | quarantined |
      | begun a, begun b                                         | no          |
      | begun a, begun b, begun c                                | yes         |
      | begun a, begun a, begun a                                | no          |
      | begun a1, begun a2, begun a3                             | yes         |
      | 5 events a, begun b, begun c                             | no          |
      | 5 events a, begun b, 5 events c, begun d                 | yes         |
      | 5 events a, 9 events b, 12 events c, 14 events d         | no          |
      | waiting a, waiting b, waiting c, waiting d               | no          |
      | waiting a, waiting b, begun c, begun d                   | yes         |
      | begun a, begun b, answered, begun c                      | no          |
      | answered, begun a, begun b, begun c                      | no          |
      | answered, 601 s, begun a, begun b, begun c               | yes         |
      | begun a, begun b, 601 s, begun c                         | no          |
      | 5 events a, 9 events b, 1 s, 12 events c, 1 s, 14 events d, 1 s, 16 events e | yes |
      | waiting a, waiting b, 1 s, waiting c, 1 s, waiting d     | yes         |
      | waiting a, waiting b, 1 s, waiting c                     | no          |

  Scenario: A request under which two targets have exited waits for a second
    Given these target crashes under a request: begun a
    Then it must wait for 0 s
    Given these target crashes under a request: begun a, waiting b
    Then it must wait for 1 s
    Given these target crashes under a request: begun a, waiting b, answered
    Then it must wait for 0 s

  Scenario Outline: A request that may have ended its target is sent again once the exit is known
    Given a daemon that has answered a request with part A
    When a target breaks off a request with parts <parts>
    Then the next target gets it <seconds> s later

    Examples:
      | parts | seconds |
      | none  | 0       |
      | A     | 0       |
      | B     | 0.25    |
      | A, B  | 0.25    |

  Scenario: A request that only runs beside crashing ones is hardly ever quarantined
    A model with assumed probabilities, given in the step: 2,000 requests, each beside one that crashes its targets.
    Callers try twice and daemons retry at a second target, so each request runs four times at most.
    Given 2000 requests that each run beside one that crashes targets, in groups of 8 slots
    Then fewer than 1 in 100 of them are quarantined

  Scenario: A steady stream of new requests that crash targets, 10,000 in all, uses bounded memory
    When 10000 different requests crash 3 targets each
    Then no more than 512 verdicts and 4096 suspects are kept, the latest ones
    And the stored row has no more than 32 KB

  Scenario: A verdict allows one trial at a time, and each next trial is later
    Given a new verdict
    Then trials start after 1 h, then after 4 h, 16 h and 64 h more, three of them in a day
    And learning the verdict again does not prolong it

  Scenario: Only one of eight daemons starts the trial of a request
    Given eight daemons with an expired verdict
    When the request arrives at all of them at once
    Then one of them sends it to a target, and the others refuse it
    And if it crashes the target, all refuse it again for 4 h
    And if it is answered, none refuses it any more, not even after a restart

  Scenario: A trial whose target is silent is sent to no second one
    Given eight daemons with an expired verdict
    When the request arrives at one of them, and its target is silent for 1 s
    Then it was sent to one target

  Scenario: No trial starts while the store is unavailable
    Given eight daemons with an expired verdict
    When the request arrives while the store is unavailable
    Then all refuse it without a retry time

  Scenario: A malformed row yields no verdict and is replaced at the next verdict
    Given a malformed row of verdicts from another writer
    Then a daemon that starts reads none, and reports it
    And the next verdict is stored again, with all others that its daemon knows

  Scenario: Malformed crash reports hide no verdict and are replaced at the next report
    Given a stored verdict, and a malformed row of crash reports from another writer
    Then a daemon that starts knows the verdict
    And reports on another request are stored again, and lead to a verdict after a restart

  Scenario: A complete answer at one daemon overrides a verdict of another
    Given two daemons, one of which has just relayed a complete answer to a request
    When three targets crash under the same request at the other daemon
    Then soon neither refuses it, and no verdict on it is stored

  Scenario: A quarantined request is refused at once, with its true outcome
    Given a daemon that has received a verdict
    When the request arrives again
    Then it is refused within 0.1 s as not run, with the time after which it may be tried
    And a request that has run in this attempt is not reported as not run

  Scenario: Runs under way are aborted when their request is quarantined
    Given a daemon with a run of a request under way
    When it learns that the request is quarantined
    Then the run is aborted
