Feature: Exchanges of groups by agreed shares
  Pure decisions over the plans of all domains, as in group_plans/balance.feature.

  Background:
    Given models large of 4 engines with 0.67 of the work and small of 2 with 0.33
    And 4 domains of 2 groups of large and 2 domains of 4 groups of small

  Scenario: A model gains groups although it has more than half of its share
    When coordinators agree on 0.42 of the work for large
    Then 3 groups of large are to change over by agreed shares
    And large keeps groups in 3 domains or more

  Scenario: A model keeps groups in three domains whatever was agreed
    When coordinators agree on 0.1 of the work for large
    Then large keeps groups in 3 domains or more

  Scenario: Shares that differ by less than a group move nothing
    When coordinators agree on 0.63 of the work for large
    Then 0 groups of large are to change over by agreed shares

  Scenario: Hosts that store the weights go first, a sixth of the engines at a time
    Given the hosts of all groups of large store small
    When coordinators agree on 0.42 of the work for large
    Then 2 groups of large may begin to change over at once
    When these begin
    Then 0 groups of large may begin to change over at once
    And 0 groups of large may begin to change over 1.5 s after they have ended
    And 1 groups of large may begin to change over 2.5 s after they have ended

  Scenario: What has changed over does not go back
    Given the hosts of all groups of large store small
    When coordinators agree on 0.42 of the work for large
    And all exchanges have been carried out
    Then 0 groups of small are to change over by agreed shares
    And 0 groups of large are to change over by agreed shares

  Scenario: A lost domain moves nothing while it may come back
    When one domain of small is lost
    Then less than 0.85 of the engines planned recently are in groups
