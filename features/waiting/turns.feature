Feature: When room is short, the most urgent requests go first and none is starved

  Scenario Outline: At half load nobody waits and nobody is refused, also right after a start
    Given <daemons> daemons whose counts of each other are <age> s old
    When callers of priorities 0, 1 and 2 come at 0.16 times all slots each, for 5 s
    Then nobody waits for a slot and nobody is refused

    Examples:
      | daemons | age |
      | 8       | 0.3 |
      | 64      | 1.0 |

  Scenario Outline: What fits is served, although slots are short for moments
    Given <daemons> daemons whose counts of each other are <age> s old
    When callers of priorities 0, 1 and 2 come at 0.3 times all slots each, for 7 s
    Then at least 0.95 of the callers of each priority are served
    And priority 0 earns at least 0.95 of its credit

    Examples:
      | daemons | age |
      | 8       | 0.3 |
      | 64      | 1.0 |

  Scenario: Bursts of the least and the most urgent kind together leave the most urgent their credit
    Given 8 daemons whose counts of each other are 0.3 s old
    When callers of priorities 0, 1 and 2 come at 0.25 times all slots each, for 4 s
    And priority 0 bursts to 2 times and priority 2 to 2.3 times its load for 5 s
    Then priority 0 earns at least 0.9 of its credit
    And no priority is served oftener than a more urgent one by more than 0.05
    And no priority is served less than a quarter as often as all

  Scenario: The least urgent are not starved by more urgent ones that need all slots
    Given 8 daemons whose counts of each other are 0.3 s old
    When callers of priority 0 come at 1.5 times all slots and of priority 2 at 0.5, for 8 s
    Then no priority is served less than a quarter as often as all
    And no priority is served oftener than a more urgent one by more than 0.05

  Scenario: A daemon that is cut off does not cost the callers of the others their turns
    Given 8 daemons whose counts of each other are 0.3 s old
    And one of them is cut off from the counts of the others
    When callers of priorities 0, 1 and 2 come at 0.5 times all slots each, for 8 s
    Then priority 0 earns at least 0.8 of its credit
    And no priority is served less than a quarter as often as all

  Scenario: Callers that repeat at once gain nothing over those who keep to what they are told
    Given 8 daemons whose counts of each other are 0.3 s old
    When 0.3 of the callers at 1.5 times all slots repeat at once, for 8 s
    Then those who repeat at once are served no oftener than the others
    And priority 0 earns at least 0.9 of its credit

  Scenario: A large workspace does not push out small ones
    Given 8 daemons whose counts of each other are 0.3 s old
    When 0.7 of the callers at 1.5 times all slots are of one workspace, for 8 s
    Then the small workspaces are served at least as often as the large one
