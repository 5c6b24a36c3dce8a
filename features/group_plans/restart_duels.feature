Feature: Two coordinators duel while engines start again
  The duels of the other features, on sites where engines also start again under their ids, seen as
  a silence or not, while orders to their earlier lives are under way and entries of earlier lives
  come late; or under other ids at their addresses, which answer for the old ids too.

  Scenario Outline: No group runs a request unless whole, and no engine is in two groups
    When <number> duels are run from seed 0 on a <site> site
    Then the oracle saw no partial group and no engine in two groups
    And groups served in every duel

    Examples:
      | site               | number |
      | mixed restarting   | 30     |
      | divided restarting | 10     |
      | mixed renaming     | 10     |
