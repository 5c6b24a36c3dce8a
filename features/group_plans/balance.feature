Feature: Groups change over to a model that is short
  Pure decisions over the plans of all domains.

  Background:
    Given models large of 4 engines with 0.67 of the work and small of 2 with 0.33
    And 4 domains of 2 groups of large and 2 domains of 4 groups of small

  Scenario: Nothing changes while each model has its share
    Then no group is to change over

  Scenario: A model that has half of its share left is not short
    When one domain of small is lost
    Then no group is to change over

  Scenario: A model without groups gets those of the other one until it has most of its share
    When both domains of small are lost
    Then 3 groups of large are to change over to small, in 3 domains

  Scenario: Coordinators that know the same choose the same, and none chooses for what has begun
    When both domains of small are lost
    And the first of these changes has begun
    Then 2 groups of large are to change over to small, in 2 domains
    When the rest of these changes have begun
    Then no group is to change over

  Scenario: Hosts that hold the weights go first
    When both domains of small are lost
    And the hosts of the second group of large-4 hold small
    Then the first to change over is the second group of large-4, which is warm
    And the others are not warm

  Scenario: A group that lacks a member is left to its repair
    When both domains of small are lost
    And the first group of large-1 lacks a member
    Then the first group of large-1 is not among those to change over

  Scenario: Two small groups of a domain make one large
    When all domains of large are lost
    Then 2 groups of one domain are to change over to large together

  Scenario: Hosts elsewhere stand by for a model that two domains could leave short
    Then hosts of 2 groups of large are to hold small, in 2 data centres
    And no host is to hold large

  Scenario: Hosts that hold the weights already go on standing by
    Given the hosts of the second group of large-4 hold small
    Then the second group of large-4 is among those that are to hold small

  Scenario: Engines that are too few for a group hold up no change for long
    Given a coordinator of all domains
    When both domains of small are lost
    And 3 engines come to small-1
    Then after 1 s it has chosen nothing
    And after 5 s it has chosen changes to small
