Feature: Two coordinators duel over the same engines
  Random runs of the production coordinator in virtual time. Each of two coordinators may
  believe that it is the only one and may pause for up to 15 s at any call; each has its own
  connections to engines, of which some are cut at times; orders are lost, carried out without
  an answer, or carried out 2 to 12 s late; engines become unreachable, return with their
  state, restart or are lost. On a mixed site both models share two domains; on a divided
  site each model has some of six domains to itself.

  Scenario Outline: No partial group runs a request, and no engine is in two groups
    When <number> runs of competing coordinators are made from seed 0 on a <site> site
    Then the oracle found no partial group and no engine in two groups
    And groups served in every run

    Examples:
      | site    | number |
      | mixed   | 40     |
      | divided | 15     |

  Scenario: Coordinators that are overloaded take no engine out of a group that serves
    Each of four coordinators mostly believes to be the only one; at times most of its report
    requests time out and the target list is up to 5 s late.
    When 25 runs of competing coordinators are made from seed 40 on a mixed overloaded site
    Then the oracle found no partial group and no engine in two groups
    And groups served in every run
    When 10 runs of competing coordinators are made from seed 10 on a divided overloaded site
    Then the oracle found no partial group and no engine in two groups
    And groups served in every run
