Feature: Groups are reassigned to an underprovisioned model
  Pure decisions over the plans of all domains.

  Background:
    Given models large of 4 engines with 0.67 of the work and small of 2 with 0.33
    And 4 domains of 2 groups of large and 2 domains of 4 groups of small

  Scenario: Nothing is reassigned while each model has its share of the groups
    Then no group is to be reassigned

  Scenario: A model with half of its share is not underprovisioned
    When one domain of small is lost
    Then no group is to be reassigned

  Scenario: A model without groups gains groups of the other until it has most of its share
    When both domains of small are lost
    Then 3 groups of large are to be reassigned to small, in 3 domains

  Scenario: Coordinators with the same view choose the same and account for reassignments under way
    When both domains of small are lost
    And the first of these reassignments has begun
    Then 2 groups of large are to be reassigned to small, in 2 domains
    When the rest of these reassignments have begun
    Then no group is to be reassigned

  Scenario: Groups whose hosts store the weights are reassigned first
    When both domains of small are lost
    And the hosts of the second group of large-4 store small
    Then the first to be reassigned is the second group of large-4, which is warm
    And the others are not warm

  Scenario: An incomplete group is not reassigned
    When both domains of small are lost
    And the first group of large-1 lacks a member
    Then the first group of large-1 is not among those to be reassigned

  Scenario: Two groups of a small model in one domain form one group of a large model
    When all domains of large are lost
    Then 2 groups of one domain are to be reassigned to large together

  Scenario: Hosts elsewhere store a model that the loss of two domains could leave short
    Then hosts of 2 groups of large are to store small, in 2 data centres
    And no host is to store large

  Scenario: Hosts that already store the weights remain on standby
    Given the hosts of the second group of large-4 store small
    Then the second group of large-4 is among those that are to store small

  Scenario: Too few new engines for a group delay a reassignment only briefly
    Given a coordinator of all domains
    When both domains of small are lost
    And 3 engines are added to small-1
    Then after 1 s it has chosen no reassignment
    And after 5 s it has chosen reassignments to small
