Feature: Two coordinators duel over the same engines
  Random runs in fake time over the real decisions and the real coordinator. Either of two
  coordinators may believe that it is the only one and may stand still for up to 15 s at any
  call; each has links of its own to engines, of which some are cut at times; orders are lost,
  carried out without an answer, or carried out 2 to 12 s late; engines go dark, come back as
  they were, start anew or are lost. On a mixed site both models share two domains; on a
  divided one each model has domains of its own, of six.

  Scenario Outline: No group runs a request unless whole, and no engine is in two groups
    When <number> duels are run from seed 0 on a <site> site
    Then the oracle saw no partial group and no engine in two groups
    And groups served in every duel

    Examples:
      | site    | number |
      | mixed   | 40     |
      | divided | 15     |

  Scenario: Coordinators that are overloaded take no engine out of a group that serves
    Four coordinators that believe at most times to be the only one, to whom most answers come too late
    at times, and the list up to 5 s late.
    When 25 duels are run from seed 40 on a mixed overloaded site
    Then the oracle saw no partial group and no engine in two groups
    And groups served in every duel
    When 10 duels are run from seed 10 on a divided overloaded site
    Then the oracle saw no partial group and no engine in two groups
    And groups served in every duel
