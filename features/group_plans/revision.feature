Feature: Revising the groups of a fabric domain
  Pure decisions: the groups of a domain, given the observed state of its engines.

  Background:
    Given the models large of 4 engines and small of 2

  Scenario: Group names are unique across domains
    When the domains north and south form their first group each
    Then the groups have different names

  Scenario: A lost member is replaced by a spare that stores the model
    Given a domain with a group of large on e1 e2 e3 e4
    And the spares e5 storing small and e6 storing large
    When e3 is lost
    Then the group keeps its name, gets a higher epoch and has the members e1 e2 e4 e6

  Scenario: A lost head is replaced by a surviving member
    Given a domain with a group of large on e1 e2 e3 e4
    And the spares e5 storing small and e6 storing large
    When e1 is lost
    Then the group keeps its name, gets a higher epoch and has the members e2 e3 e4 e6

  Scenario: A serving group is not interrupted for a spare that must load the model first
    Given a domain with a group of large on e1 e2 e3 e4
    And the spares e5 storing small and e6 storing small
    When e2 announces that it will leave
    Then nothing changes

  Scenario: A leaving member is replaced once a spare stores the model
    Given a domain with a group of large on e1 e2 e3 e4
    And the spares e5 storing small and e6 storing large
    When e2 announces that it will leave
    Then the group keeps its name, gets a higher epoch and has the members e1 e3 e4 e6

  Scenario: A member with a long load is replaced by a spare that stores the model
    Given a domain with a group of large on e1 e2 e3 e4
    And the spares e5 storing large and e6 storing large
    When e4 is 9 s away from being ready
    Then the group keeps its name, gets a higher epoch and has the members e1 e2 e3 e5

  Scenario: A member that is almost ready is not replaced
    Given a domain with a group of large on e1 e2 e3 e4
    And the spares e5 storing large and e6 storing large
    When e4 is 1 s away from being ready
    Then nothing changes

  Scenario: A slow member is replaced by a spare that stores the model
    Given a domain with a group of large on e1 e2 e3 e4
    And the spares e5 storing large and e6 storing small
    When e2 takes 5 times its nominal times
    Then the group keeps its name, gets a higher epoch and has the members e1 e3 e4 e5

  Scenario: A slow member is not replaced if no spare stores the model
    Given a domain with a group of large on e1 e2 e3 e4
    And the spares e5 storing small and e6 storing small
    When e2 takes 5 times its nominal times
    Then nothing changes

  Scenario: A group without surviving members is deleted
    Given a domain with a group of small on e1 e2
    When e1 and e2 are lost
    Then the domain has no groups

  Scenario: A group whose members are silent but listed is not deleted
    Given a domain with a group of small on e1 e2
    When e1 and e2 are silent
    Then nothing changes

  Scenario: In a domain of one model a group of silent members is retired, not deleted
    Given a domain with a group of small on e1 e2
    And the domain serves small alone
    When e1 and e2 are silent
    Then the group of small is retired

  Scenario: An incomplete group is retired if that completes another
    Given a domain with a group of large on e1 e2 e3 e4
    And a group of small on e7 e8
    When e4 and e8 are lost
    Then the group of small is retired

  Scenario: A broken group is re-formed of the same members
    Given a domain with a group of large on e1 e2 e3 e4
    When the group is broken
    Then the group keeps its name, gets a higher epoch and has the members e1 e2 e3 e4

  Scenario Outline: Spares load the models that lack a warm replacement
    Given a domain with a group of large on e1 e2 e3 e4
    And the free engines <free>
    When models are chosen for them to load
    Then they load <loads>

    Examples:
      | free              | loads             |
      | e5 e6             | e5=large e6=small |
      | e5=large e6       | e6=small          |
      | e5=large e6=large | e5=small          |
      | e5=large e6=small | nothing           |

  Scenario: In a domain of one model a group that cannot be completed is retired at once
    Given a domain with a group of large on a b c d
    And a group of large on e f g h
    And the domain serves large alone
    When b is lost
    Then the group of large is retired

  Scenario: A lost member is replaced by a warm spare in a domain of one model
    Given a domain with a group of large on a b c d
    And the spares e storing large and f storing large
    And the domain serves large alone
    When b is lost
    Then the group keeps its name, gets a higher epoch and has the members a c d e

  Scenario: In a domain of one model a group is not repaired by a spare that must load first
    Given a domain with a group of large on a b c d
    And the spares e storing small and f storing small
    And the domain serves large alone
    When b is lost
    Then the group of large is retired

  Scenario: A retired group whose head is lost is re-formed under its name
    Given a domain with a group of large on a b c d
    And the domain serves large alone
    When a is lost
    Then the group of large is retired
    When that plan is in force and the spare e storing large is added
    Then the group keeps its name, gets a higher epoch and has the members b c d e

  Scenario: A retired group is not re-formed with an engine that must load first
    Given a domain with a group of large on a b c d
    And the domain serves large alone
    When a is lost
    Then the group of large is retired
    When that plan is in force and the spare e storing small is added
    Then the group of large is retired

  Scenario: Members of a retired group become free although its head is lost
    Given a retired group on a b c d whose head a is lost
    When b, c and d have reported no group for 4.6 s
    Then b, c and d are free, and a does not delay the group's end

  Scenario: Members of a retired group are not free until they report that they left
    Given a retired group on a b c d whose head a is lost
    When b and c have reported no group for 4.6 s, and d has not left
    Then b and c are free and d is not

  Scenario: A new domain of one model forms groups of engines whose hosts store nothing yet
    Given four engines a, b, c and d in no group, of which only a stores large
    And the domain serves large alone
    When groups are formed
    Then one group of large on a b c d is planned

  Scenario: A loading member is not replaced while its group lacks members that are not listed
    Given a domain with a group of large on e1 e2 e3 e4
    And the spares e5 storing large and e6 storing small
    And the target list never had e1 e2 e4
    When e3 is 8 s away from being ready
    Then nothing changes

  Scenario: Free engines form a group of the model they store if its demand is higher
    Given a domain with a group of large on e1 e2 e3 e4
    And the domain serves large alone
    And the spares e5 storing small and e6 storing small
    When small has a higher demand than large
    Then a group of small on e5 e6 is added

  Scenario: Free engines are kept for the domain's model if its demand is higher
    Given a domain with a group of large on e1 e2 e3 e4
    And the domain serves large alone
    And the spares e5 storing small and e6 storing small
    When large has a higher demand than small
    Then nothing changes
