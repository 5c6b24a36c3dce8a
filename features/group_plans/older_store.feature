Feature: The store is restored from an older copy
  Every 3 s to 12 s, at times twice within a second, it is unavailable for up to 2 s and returns in
  its state of 0.5 s to 10 s before. Versions are assigned again, and acknowledged rows are lost.

  Scenario Outline: No partial group runs a request, and no epoch is assigned twice
    When <number> runs of competing coordinators are made from seed 0 on a <site> site
    Then the oracle found no partial group and no engine in two groups
    And groups served in every run

    Examples:
      | site                          | number |
      | mixed restored                | 20     |
      | mixed restarting and restored | 12     |
      | divided restored              | 8      |

  Scenario: The oracle detects that store versions are compared without their eras
    When competing coordinators run with store eras ignored on a mixed restored site, from seed 0 on
    Then the oracle found a partial group or an engine in two groups

  Scenario: Groups whose plans the store has lost continue to serve
    Given a coordinator with serving groups
    When the store is restored from a copy older than their plans
    Then the same groups are serving 10 s later
    And the store contains their plans again

  Scenario: The check detects that lost plans are not written again
    Given a coordinator with serving groups
    When the store is restored from a copy older than their plans, and lost rows are not written again
    Then other groups are serving 10 s later
