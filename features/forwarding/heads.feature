Feature: Which heads of groups serve
  The target list is up to a second stale; group updates of a coordinator take precedence.

  Background:
    Given the list shows h1 as open head of g1 at epoch 5, and h2 as ready head of g2 at epoch 7

  Scenario: Without group updates the list decides
    Then h1 serves at 1.0 s

  Scenario: A group that is given up gets no more requests
    When an update at 1.0 s gives up g1
    Then no head serves at 1.0 s

  Scenario: A group that is formed again gets no requests at its former epoch
    When an update at 1.0 s forms g1 again at epoch 9
    Then no head serves at 1.0 s
    When the list shows h1 as open head of g1 at epoch 9
    Then h1 serves at 2.0 s

  Scenario: A head that was ordered to open is used once it serves, before the list shows it
    When an update at 1.0 s says that h2 opens g2 at epoch 7 in 0.3 s
    Then h1 serves at 1.2 s
    And h1 and h2 serve at 1.3 s

  Scenario Outline: The list takes precedence over older updates
    When an update at 1.0 s says that h2 opens g2 at epoch 7 in 0.3 s
    And the list shows h2 as <state> head of <group> at epoch <epoch>
    Then <heads> at 2.0 s

    Examples:
      | state   | group | epoch | heads            |
      | joining | g2    | 6     | h1 and h2 serve  |
      | ready   | g2    | 7     | h1 and h2 serve  |
      | open    | g2    | 7     | h1 and h2 serve  |
      | broken  | g2    | 7     | h1 serves        |
      | joining | g3    | 8     | h1 serves        |

  Scenario: An update for an earlier incarnation of a head is ignored
    When h2 restarts
    And an update at 1.0 s says that h2 opens g2 at epoch 7 in 0.3 s
    Then h1 serves at 2.0 s

  Scenario: An update that the list never confirms expires
    When an update at 1.0 s says that h2 opens g2 at epoch 7 in 0.3 s
    Then h1 and h2 serve at 11.2 s
    And h1 serves at 11.4 s

  Scenario: Updates prevent requests to ended groups, and new groups are used sooner
    Given a load of 20 requests a second for 4.0 s while g1 ends at 0.5 s and g2 opens at 1.0 s
    And a list that is 1.0 s late
    Then without updates 20 requests go to an ended group and g2 gets none until 2.0 s
    And with updates no request goes to an ended group and g2 gets its first by 1.1 s
