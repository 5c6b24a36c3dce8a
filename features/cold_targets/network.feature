Feature: All daemons together keep to what a cold target tolerates in one second
  Two of six targets turn cold at one moment, at daemons that exchange messages over their own links in virtual time.

  Scenario Outline: <daemons> daemons and targets that tolerate <rate> per s
    When targets of 2 data centres of <each> daemons turn cold and tolerate <rate> per s
    Then no cold target gets more in one second than 1.5 times that and 5
    And cold targets get at least 0.7 of it

    Examples:
      | daemons | each | rate |
      | 8       | 4    | 1    |
      | 8       | 4    | 5    |
      | 8       | 4    | 20   |
      | 8       | 4    | 60   |
      | 32      | 16   | 5    |

  Scenario Outline: Daemons that are cut off, start again and lose datagrams, seed <seed>
    When targets tolerate 5 per s at 2 data centres of 4 daemons with faults, seed <seed>
    Then no cold target gets more in one second than 1.5 times that and 5

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |

  Scenario: Daemons that do not know of cold targets break the bound
    When targets tolerate 5 per s at 2 data centres of 4 daemons that ignore that
    Then some cold target gets more in one second than 1.5 times that and 5
