Feature: The store comes back from an older copy
  It is away for up to 2 s and comes back as it was 0.5 s to 10 s before, every 3 s to 12 s, at times twice within
  a second. Versions are given out again, and rows that were acknowledged are gone.

  Scenario Outline: No group runs a request unless whole, and no epoch is given out twice
    When <number> duels are run from seed 0 on a <site> site
    Then the oracle saw no partial group and no engine in two groups
    And groups served in every duel

    Examples:
      | site                          | number |
      | mixed restored                | 20     |
      | mixed restarting and restored | 12     |
      | divided restored              | 8      |

  Scenario: Versions that are compared over eras are found out
    When duels are run with eras ignored on a mixed restored site, from seed 0 on
    Then the oracle saw a group that was partial or an engine in two groups

  Scenario: Groups that the store has forgotten serve on
    Given a coordinator whose groups serve
    When the store comes back as it was before they were planned
    Then the same groups serve 10 s later
    And the store holds their plans again

  Scenario: Plans that are not written again are found out
    Given a coordinator whose groups serve
    When the store comes back as it was before they were planned, and nothing is written again
    Then other groups serve 10 s later
