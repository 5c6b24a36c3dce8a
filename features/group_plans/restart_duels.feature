Feature: Two coordinators compete for engines that restart
  Engines also restart under their ids, with or without a downtime, while orders to earlier
  incarnations are in flight and list entries of earlier incarnations arrive late; or they restart
  under new ids at their addresses, which answer requests to the old ids too.

  Scenario Outline: No partial group runs a request, and no engine is in two groups
    When <number> runs of competing coordinators are made from seed 0 on a <site> site
    Then the oracle found no partial group and no engine in two groups
    And groups served in every run

    Examples:
      | site               | number |
      | mixed restarting   | 30     |
      | divided restarting | 10     |
      | mixed renaming     | 10     |
