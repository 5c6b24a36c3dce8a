Feature: Which heads are known to serve
  The list of targets is up to a second late. What a coordinator tells directly goes before it.

  Background:
    Given the list shows h1 as open head of g1 at epoch 5, and h2 as ready head of g2 at epoch 7

  Scenario: Without news the list decides
    Then h1 serves at 1.0 s

  Scenario: A group that is given up gets nothing more
    When news comes at 1.0 s that g1 is given up
    Then nobody serves at 1.0 s

  Scenario: A group that is formed anew gets nothing at its former epoch
    When news comes at 1.0 s that g1 is formed anew at epoch 9
    Then nobody serves at 1.0 s
    When the list shows h1 as open head of g1 at epoch 9
    Then h1 serves at 2.0 s

  Scenario: A head that was told to open is used once it serves, before the list shows it
    When news comes at 1.0 s that h2 opens g2 at epoch 7 in 0.3 s
    Then h1 serves at 1.2 s
    And h1 and h2 serve at 1.3 s

  Scenario Outline: The list goes before older news
    When news comes at 1.0 s that h2 opens g2 at epoch 7 in 0.3 s
    And the list shows h2 as <state> head of <group> at epoch <epoch>
    Then <who> at 2.0 s

    Examples:
      | state   | group | epoch | who              |
      | joining | g2    | 6     | h1 and h2 serve  |
      | ready   | g2    | 7     | h1 and h2 serve  |
      | open    | g2    | 7     | h1 and h2 serve  |
      | broken  | g2    | 7     | h1 serves        |
      | joining | g3    | 8     | h1 serves        |

  Scenario: News of an earlier life of a head says nothing
    When h2 starts again
    And news comes at 1.0 s that h2 opens g2 at epoch 7 in 0.3 s
    Then h1 serves at 2.0 s

  Scenario: News that the list never confirms ends
    When news comes at 1.0 s that h2 opens g2 at epoch 7 in 0.3 s
    Then h1 and h2 serve at 11.2 s
    And h1 serves at 11.4 s

  Scenario: News spares requests to groups that have ended, and uses new ones sooner
    Given a load of 20 requests a second for 4.0 s while g1 ends at 0.5 s and g2 opens at 1.0 s
    And a list that is 1.0 s late
    Then without news 20 requests go to a group that has ended and g2 takes none until 2.0 s
    And with news none goes there and g2 takes its first by 1.1 s
