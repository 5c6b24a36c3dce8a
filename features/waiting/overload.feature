Feature: Under load of 1.5 times all slots each priority gets what it is due

  Scenario Outline: Load of 1.5 times all slots costs the least urgent callers, not all
    Given <daemons> daemons whose counts of each other are <age> s old
    When callers of priorities 0, 1 and 2 come at 0.5 times all slots each, for 14 s
    Then priority 0 earns at least <credit> of its credit
    And no priority is served oftener than a more urgent one by more than 0.05
    And no priority is served less than a quarter as often as all
    And of the callers that came back when told, at least 0.8 are served

    Examples:
      | daemons | age | credit |
      | 8       | 0.3 | 0.9    |
      | 8       | 1.0 | 0.9    |
      | 64      | 0.3 | 0.9    |
      | 64      | 1.0 | 0.9    |
