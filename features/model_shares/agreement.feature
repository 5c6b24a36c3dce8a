Feature: Coordinators agree on the models' shares through a row of the store
  The production code with a fake store in virtual time. Three coordinators see 20 of 100 slots
  of large and 220 of 360 of small in use; one of them is the first reporter of the site.

  Scenario: The first reporter proposes, the others adopt
    Given three coordinators, the first of which is the first reporter
    When 10 s pass at the coordinators
    Then all have the same shares, of which small has 0.6 or more
    And each has called the store at most once in 1.4 s

  Scenario: The first reporter dies between its reads and its write
    Given three coordinators, the first of which is the first reporter
    When it dies as it writes, and the second becomes the first reporter
    Then all others have the same shares, of which small has 0.6 or more 10 s on

  Scenario: Two believe to be the first reporter
    Given three coordinators, the first of which is the first reporter
    When another one writes 0.7 for small immediately before it
    Then all have the same shares, of which small has 0.7 or more

  Scenario: A reply is lost
    Given three coordinators, the first of which is the first reporter
    When its write gets no reply
    And 12 s pass at the coordinators
    Then all have the same shares, of which small has 0.6 or more
    And the row was written once

  Scenario: The store is away
    Given three coordinators, the first of which is the first reporter
    When 10 s pass at the coordinators
    And the store of shares is away for 6 s
    Then all have the same shares, of which small has 0.6 or more

  Scenario: The store is away from the start
    Given three coordinators, the first of which is the first reporter
    When the store of shares is away for 12 s
    Then all have the declared shares
    When 6 s pass at the coordinators
    Then all have the same shares, of which small has 0.6 or more

  Scenario: The store comes back without the row
    Given three coordinators, the first of which is the first reporter
    When 10 s pass at the coordinators
    And the store of shares comes back without the row
    And 6 s pass at the coordinators
    Then all have the same shares, of which small has 0.6 or more

  Scenario: The store comes back with an older row
    Given three coordinators, the first of which is the first reporter
    And a shares row that gives small 0.62
    When 10 s pass at the coordinators
    And another one writes 0.7 for small
    And 2 s pass at the coordinators
    Then all have the same shares, of which small has 0.7 or more
    When the store of shares comes back with the row that gives small 0.62
    And 2 s pass at the coordinators
    Then all have the same shares, of which small has 0.62 or more

  Scenario Outline: A row that makes no sense counts as absent
    Given three coordinators, none of which is the first reporter
    And a shares row <content>
    When 10 s pass at the coordinators
    Then all have the declared shares
    And each has said so once

    Examples:
      | content                                                                            |
      | x                                                                                  |
      | {}                                                                                 |
      | {"declared":{"large":0.5,"small":0.5},"shares":{"large":-1,"small":2}}             |
      | {"declared":{"large":0.5,"small":0.5},"shares":{"large":0,"small":1}}              |
      | {"declared":{"large":0.5,"small":0.5},"shares":{"large":1e999,"small":1}}          |
      | {"declared":{"large":0.5,"small":0.5},"shares":{"small":1}}                        |
      | {"declared":{"large":0.5,"small":0.5},"shares":{"large":"much","small":1}}         |
      | {"declared":{"large":0.7,"small":0.3},"shares":{"large":0.3,"small":0.7}}          |
      | {"declared":{"other":0.7},"shares":{"other":0.3}}                                  |
      | {"declared":{"large":0.5,"small":0.5},"shares":{"large":NaN,"small":1}}            |

  Scenario: The first reporter replaces a row that makes no sense
    Given three coordinators, the first of which is the first reporter
    And a shares row x
    When 10 s pass at the coordinators
    Then all have the same shares, of which small has 0.6 or more

  Scenario: Operators declare other shares
    Given three coordinators, none of which is the first reporter
    And a shares row that gives small 0.7
    When 4 s pass at the coordinators
    Then all have the same shares, of which small has 0.7 or more
    When operators declare 0.6 of the work for large
    Then all have the declared shares

  Scenario: A daemon that has just become a coordinator acts by the declared shares until it has read the row
    Given three coordinators, none of which is the first reporter
    And a shares row that gives small 0.7
    Then all have the declared shares
    When 2 s pass at the coordinators
    Then all have the same shares, of which small has 0.7 or more

  Scenario: Switched off, nothing is read or written
    Given three coordinators, the first of which is the first reporter
    And shares are declared
    When 10 s pass at the coordinators
    Then all have the declared shares
    And the store of shares was not called

  Scenario: Daemons that coordinate nothing read nothing
    Given three daemons that coordinate nothing
    When 10 s pass at the coordinators
    Then the store of shares was not called
