Feature: Revising the groups of a fabric domain
  Pure decisions: which groups a domain shall have, given what is known of its engines.

  Background:
    Given the models large of 4 engines and small of 2

  Scenario: Names of groups are unique over domains
    When the domains north and south form their first group each
    Then the groups have different names

  Scenario: A lost member is replaced by a spare that holds the model
    Given a domain with a group of large on e1 e2 e3 e4
    And the spares e5 that holds small and e6 that holds large
    When e3 is lost
    Then the group keeps its name, gets a higher epoch and has the members e1 e2 e4 e6

  Scenario: A lost head is followed by a survivor
    Given a domain with a group of large on e1 e2 e3 e4
    And the spares e5 that holds small and e6 that holds large
    When e1 is lost
    Then the group keeps its name, gets a higher epoch and has the members e2 e3 e4 e6

  Scenario: A serving group is not taken apart for a spare that must load first
    Given a domain with a group of large on e1 e2 e3 e4
    And the spares e5 that holds small and e6 that holds small
    When e2 says that it will leave
    Then nothing changes

  Scenario: A leaving member is replaced once a spare holds the model
    Given a domain with a group of large on e1 e2 e3 e4
    And the spares e5 that holds small and e6 that holds large
    When e2 says that it will leave
    Then the group keeps its name, gets a higher epoch and has the members e1 e3 e4 e6

  Scenario: A member that loads for long is replaced by an engine that need not
    Given a domain with a group of large on e1 e2 e3 e4
    And the spares e5 that holds large and e6 that holds large
    When e4 is 9 s away from being ready
    Then the group keeps its name, gets a higher epoch and has the members e1 e2 e3 e5

  Scenario: A member that is almost ready is waited for
    Given a domain with a group of large on e1 e2 e3 e4
    And the spares e5 that holds large and e6 that holds large
    When e4 is 1 s away from being ready
    Then nothing changes

  Scenario: A slow member is replaced by an engine that holds the model
    Given a domain with a group of large on e1 e2 e3 e4
    And the spares e5 that holds large and e6 that holds small
    When e2 runs at 5 times its usual times
    Then the group keeps its name, gets a higher epoch and has the members e1 e3 e4 e5

  Scenario: A slow member stays if no spare holds the model
    Given a domain with a group of large on e1 e2 e3 e4
    And the spares e5 that holds small and e6 that holds small
    When e2 runs at 5 times its usual times
    Then nothing changes

  Scenario: A group of which nothing is left is dropped
    Given a domain with a group of small on e1 e2
    When e1 and e2 are lost
    Then the domain has no groups

  Scenario: A group whose members are silent but listed is not dropped
    Given a domain with a group of small on e1 e2
    When e1 and e2 are silent
    Then nothing changes

  Scenario: In a domain of one model such a group is given up, not dropped
    Given a domain with a group of small on e1 e2
    And the domain serves small alone
    When e1 and e2 are silent
    Then the group of small is given up

  Scenario: An incomplete group is given up if that completes another
    Given a domain with a group of large on e1 e2 e3 e4
    And a group of small on e7 e8
    When e4 and e8 are lost
    Then the group of small is given up

  Scenario: A broken group is formed anew of the same members
    Given a domain with a group of large on e1 e2 e3 e4
    When the group is broken
    Then the group keeps its name, gets a higher epoch and has the members e1 e2 e3 e4

  Scenario Outline: Spares hold the models at risk
    Given a domain with a group of large on e1 e2 e3 e4
    And the free engines <free>
    When it is decided what they shall hold
    Then they load <loads>

    Examples:
      | free                  | loads               |
      | e5 e6                 | e5=large e6=small   |
      | e5=large e6           | e6=small            |
      | e5=large e6=large     | e5=small            |
      | e5=large e6=small     | nothing             |

  Scenario: Where a domain serves one model, a group that cannot be completed is given up at once
    Given a domain with a group of large on a b c d
    And a group of large on e f g h
    And the domain serves large alone
    When b is lost
    Then the group of large is given up

  Scenario: What is left of a group is a spare for another one of its model
    Given a domain with a group of large on a b c d
    And the spares e that holds large and f that holds large
    And the domain serves large alone
    When b is lost
    Then the group keeps its name, gets a higher epoch and has the members a c d e

  Scenario: Where a domain serves one model, a spare that must load first is left to load
    Given a domain with a group of large on a b c d
    And the spares e that holds small and f that holds small
    And the domain serves large alone
    When b is lost
    Then the group of large is given up

  Scenario: A given-up group whose head is lost is formed anew under its name
    Given a domain with a group of large on a b c d
    And the domain serves large alone
    When a is lost
    Then the group of large is given up
    When that is in force and the spare e that holds large comes
    Then the group keeps its name, gets a higher epoch and has the members b c d e

  Scenario: A given-up group is not formed anew by an engine that must load first
    Given a domain with a group of large on a b c d
    And the domain serves large alone
    When a is lost
    Then the group of large is given up
    When that is in force and the spare e that holds small comes
    Then the group of large is given up

  Scenario: Members of a given-up group are free although its lost head stays lost
    Given a retired group on a b c d whose head a is lost
    When b, c and d have been away for 4.6 s by reports
    Then b, c and d are free, and a does not hold up the group's end

  Scenario: Members of a given-up group that have not left it themselves are not free
    Given a retired group on a b c d whose head a is lost
    When b and c have been away for 4.6 s by reports, and d has not left
    Then b and c are free and d is not

  Scenario: At the start a domain of one model forms groups of engines that hold nothing yet
    Given four engines a, b, c and d in no group, of which only a holds large
    And the domain serves large alone
    When groups are formed
    Then one group of large on a b c d is planned

  Scenario: A member that loads stays while its group lacks members that nobody lists any more
    Given a domain with a group of large on e1 e2 e3 e4
    And the spares e5 that holds large and e6 that holds small
    And the list has never told of e1 e2 e4
    When e3 is 8 s away from being ready
    Then nothing changes

  Scenario: Free engines form a group of what they hold, if that is wanted more than the domain's model
    Given a domain with a group of large on e1 e2 e3 e4
    And the domain serves large alone
    And the spares e5 that holds small and e6 that holds small
    When small is wanted more than large
    Then a group of small on e5 e6 is added

  Scenario: Free engines that hold a model which is wanted less are left for the domain's own
    Given a domain with a group of large on e1 e2 e3 e4
    And the domain serves large alone
    And the spares e5 that holds small and e6 that holds small
    When large is wanted more than small
    Then nothing changes
