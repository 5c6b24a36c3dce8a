Feature: Two coordinators duel over the same engines
  Random runs in fake time over the real decisions and the real coordinator. Either of two
  coordinators may believe that it is the only one and may stand still for up to 15 s at any
  call; each has links of its own to engines, of which some are cut at times; orders are lost,
  carried out without an answer, or carried out 2 to 12 s late; engines go dark, come back as
  they were, start anew or are lost. On a mixed site both models share two domains; on a
  divided one each model has domains of its own, of six. On a restarting site engines also
  start again under their ids, seen as a silence or not, while orders to their earlier lives
  are under way, and entries of earlier lives come late.

  Scenario Outline: No group runs a request unless whole, and no engine is in two groups
    When <number> duels are run from seed 0 on a <site> site
    Then the oracle saw no partial group and no engine in two groups
    And groups served in every duel

    Examples:
      | site               | number |
      | mixed              | 40     |
      | divided            | 15     |
      | mixed restarting   | 30     |
      | divided restarting | 10     |

  Scenario Outline: Without a mechanism the oracle finds it out
    When duels are run with <variant> on a <site> site, from seed <first> on
    Then the oracle saw a group that was partial or an engine in two groups

    Examples:
      | variant                                         | site    | first |
      | engines planned without their lives             | mixed restarting   | 0  |
      | lives confused                                  | mixed restarting   | 22 |
      | heads opened before all members were seen ready | mixed   | 0     |
      | engines taken out of groups they have not left  | mixed   | 41    |
      | engines taken out of groups they have not left  | divided | 33    |
      | epochs used twice                               | mixed   | 1     |
      | epochs used twice                               | divided | 82    |
      | members freed by the silence of their head      | mixed   | 11    |
      | members freed by the silence of their head      | divided | 9     |
      | evidence from before a group's end              | divided | 139   |
