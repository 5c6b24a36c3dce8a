Feature: Operators ask for an evacuation of a data centre, and take it back

  Scenario: Rows that name no data centre are left out, and the others hold
    When the operators' rows are "config evacuate/ evacuate/x evacuated/z evacuate/unknown"
    Then the evacuated data centres are "x unknown"

  Scenario Outline: A row whose content cannot be read still asks for the evacuation
    When a row asks to evacuate x with the content "<content>"
    Then the evacuated data centres are "x"

    Examples:
      | content |
      | {}      |
      | {"a     |
      | null    |

  Scenario: A name that is too long is left out and logged
    When a row names a data centre of 300 characters
    Then no data centre is evacuated

  Scenario: A change that does not concern an evacuation ends none
    Given a replica that has read the rows "evacuate/x"
    When the feed brings "config2" as written at version 11
    Then the evacuated data centres are "x"

  Scenario: Rows that the feed brings begin and end evacuations
    Given a replica that has read the rows "evacuate/x"
    When the feed brings "evacuate/y" as written at version 11
    Then the evacuated data centres are "x y"
    When the feed brings "evacuate/x" as deleted at version 12
    Then the evacuated data centres are "y"

  Scenario: A snapshot replaces the set
    Given a replica that has read the rows "evacuate/x"
    When it reads the rows "evacuate/y" at version 11
    Then the evacuated data centres are "y"
    When it reads no rows at version 12
    Then no data centre is evacuated

  Scenario: A snapshot that is older than what peers know changes nothing
    Given a replica that has read the rows "evacuate/x"
    When it reads no rows at version 9
    Then the evacuated data centres are "x"

  Scenario: An evacuation that a restored store has lost goes on until it is read again
    Given a replica that has read the rows "evacuate/x"
    When it reads no rows at version 8 of the next era
    Then the evacuated data centres are "x"
    When 1 s later it reads "nothing" at version 8 of the next era
    Then the evacuated data centres are "x"
    When 5.1 s later it reads "nothing" at version 8 of the next era
    Then no data centre is evacuated

  Scenario: A held evacuation ends although another one has begun meanwhile
    Given a replica that has read the rows "evacuate/x"
    When it reads no rows at version 8 of the next era
    And the feed brings "evacuate/y" as written at version 9 of the next era
    Then the evacuated data centres are "x y"
    When 5.1 s later it reads "evacuate/y" at version 9 of the next era
    Then the evacuated data centres are "y"

  Scenario: A daemon that starts knows the evacuations before its first configuration
    Given a replica that has read the rows "evacuate/x"
    When a reader that starts reads its state
    Then the evacuated data centres are "x"
    And a reader of the previous build gets the array that it knows

  Scenario: Requests that were chosen before the evacuation are not sent
    Given 2 targets in each of hall-0 and hall-1, of which hall-0 is evacuated
    Then requests are sent to hall-1 only, and those chosen before are withheld

  Scenario: Daemons do not send everything to a data centre that was taken back
    Given 2 targets in each of hall-0 and hall-1, of which hall-0 is evacuated
    Then when it is taken back, its share of the requests grows over 2 s

  Scenario: Requests are refused if all data centres are evacuated
    Given 2 targets in each of hall-0 and hall-1, of which hall-0 is evacuated
    Then when all data centres are evacuated, there is no candidate

  Scenario: A model whose domains are all evacuated gets groups elsewhere
    Given domains of 4 groups: one of model a in hall-0, two of model b in hall-1
    Then 0 groups of b are reassigned to a
    When hall-0 is evacuated
    Then 2 groups of b are reassigned to a
