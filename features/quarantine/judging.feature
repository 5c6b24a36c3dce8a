Feature: Who is blamed for the end of a target, and for how long
  A target runs about ten requests at once and all of them see it end. Without a network and in fake time.

  Scenario Outline: What the ends of targets say of a request
    Given the ends of targets under a request: <ends>
    Then it is convicted: <convicted>

    Examples:
      | ends                                                     | convicted |
      | begun a, begun b                                         | no        |
      | begun a, begun b, begun c                                | yes       |
      | begun a, begun a, begun a                                | no        |
      | began a1, began a2, began a3                             | yes       |
      | 5 events a, begun b, begun c                             | no        |
      | 5 events a, begun b, 5 events c, begun d                 | yes       |
      | 5 events a, 9 events b, 12 events c, 14 events d         | no        |
      | waiting a, waiting b, waiting c, waiting d               | no        |
      | waiting a, waiting b, begun c, begun d                   | yes       |
      | begun a, begun b, answered, begun c                      | no        |
      | answered, begun a, begun b, begun c                      | no        |
      | answered, 601 s, begun a, begun b, begun c               | yes       |
      | begun a, begun b, 601 s, begun c                         | no        |

  Scenario: One that was only beside such requests is not blamed
    A model with assumed chances, which the step names: 2,000 requests, each beside one that ends its targets.
    Callers try twice and daemons go on at a second target, so each runs four times at most.
    Given 2000 requests that are beside one that ends its targets, in groups of 8 places
    Then fewer than 1 in 100 of them are convicted

  Scenario: Bounded memory under 10,000 requests that end targets, and under new ones all the time
    When 10000 different requests end 3 targets each
    Then no more than 512 verdicts and 4096 suspects are kept, of the latest
    And the row of the store has no more than 32 KB

  Scenario: A verdict ends in one trial, and the next one is later
    Given a verdict that was reached at a time
    Then it may be tried after 1 h, then after 4 h, 16 h and 64 h more: three trials in a day
    And hearing of it again does not prolong it

  Scenario: Of eight daemons that want to try a request at once, one does
    Given eight daemons that know a verdict whose time is over
    When the request comes at all of them at the same moment
    Then one of them sends it to a target, and the others refuse it
    And if it ends the target all refuse it again, for 4 h
    And if it is answered none refuses it any more, nor after a new start

  Scenario: A request is not tried while the store is away
    Given eight daemons that know a verdict whose time is over
    When the store is away and the request comes
    Then all refuse it, and give no time to come back

  Scenario: A spoiled row names no verdict and is replaced by the next one
    Given a row of verdicts that another writer has spoiled
    Then a daemon that starts reads none, and says so
    And the next verdict is kept again, with all others that its judge knows

  Scenario: Spoiled evidence hides no verdict, and is replaced by the next evidence
    Given a verdict that is kept, and a row of evidence that another writer has spoiled
    Then a daemon that starts knows the verdict
    And evidence on another request is kept again, and makes up a verdict after a new start

  Scenario: A daemon that has passed on a whole answer objects to a verdict
    Given two daemons, of which one has just passed on a whole answer to a request
    When three targets end under the same request at the other daemon
    Then soon neither refuses it, and nothing of it is kept

  Scenario: The refusal is true and comes at once
    Given a daemon that has learnt of a verdict
    When the request comes again
    Then it is refused within 0.1 s as not run, with the time after which it may be tried
    And a request that has run in this attempt is not told that it has not

  Scenario: Runs that wait at targets are broken off with the verdict
    Given a daemon with a run of a request under way
    When it learns that the request is quarantined
    Then the run is broken off
