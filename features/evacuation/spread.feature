Feature: No daemon sends requests to an evacuated data centre for longer than 5 s
  Daemons with their own replicas and links in virtual time. Each tries a request to each data centre five times a second.

  Scenario Outline: <daemons> daemons whose store is <fault>
    When hall-0 is evacuated for 6.5 s at <halls> data centres of <each> daemons, with the store "<fault>"
    Then no request is sent there later than 5 s after that
    And all daemons use it within 3 s after it is taken back

    Examples:
      | daemons | halls | each | fault          |
      | 8       | 2     | 4    |                |
      | 8       | 2     | 4    | slow           |
      | 8       | 2     | 4    | refusing       |
      | 8       | 2     | 4    | alone          |
      | 8       | 2     | 4    | losing answers |
      | 8       | 2     | 4    | cut            |
      | 64      | 4     | 16   | refusing       |
      | 64      | 4     | 16   | losing answers |

  Scenario: Datagrams that are lost
    When hall-0 is evacuated for 6.5 s at 4 data centres of 4 daemons that lose 0.1 of their datagrams
    Then no request is sent there later than 5 s after that
    And all daemons use it within 3 s after it is taken back

  Scenario: Daemons that start during the evacuation send nothing there
    When hall-0 is evacuated for 6.5 s at 2 data centres of 8 daemons, of which 6 start meanwhile
    Then no request is sent there later than 5 s after that
    And all daemons use it within 3 s after it is taken back

  Scenario: Two data centres at once
    When hall-0 and hall-1 are evacuated at 4 data centres of 4 daemons, and one of them is taken back
    Then no request is sent there later than 5 s after that
    And all daemons use it within 3 s after it is taken back

  Scenario: A request to evacuate that is taken back and repeated within a second
    When hall-0 is evacuated, taken back and evacuated again at 4 data centres of 4 daemons
    Then no request is sent there later than 5 s after that

  Scenario: Daemons that do not tell each other break the bound
    When hall-0 is evacuated at 2 data centres of 4 daemons that do not tell each other
    Then some requests are sent there later than 5 s after that
