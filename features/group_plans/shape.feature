Feature: Domains are assigned to models
  An engine whose host stores a group's model repairs it ten times as fast as one that must load it.

  Scenario: Domains are assigned by the models' shares of the work, across data centres
    Given 2 domains in each of 3 data centres
    And the models large with 0.67 of the work and small with 0.33
    When the domains are assigned one after the other
    Then 4 domains serve large alone and 2 serve small alone
    And the domains of small are in 2 data centres

  Scenario: All domains serve all models if a model cannot have two domains
    Given 1 domain in each of 3 data centres
    And the models large with 0.67 of the work and small with 0.33
    When the domains are assigned one after the other
    Then every domain serves any model and keeps 2 spares

  Scenario: Concurrent assignments by several coordinators match sequential assignments
    Given 5 domains in each of 3 data centres
    And the models large with 0.67 of the work and small with 0.33
    When each domain is assigned while no other is assigned yet
    Then the domains have the models that they get one after the other

  Scenario: A domain remains assigned to the model of its groups
    Given 2 domains in each of 3 data centres
    And the models large with 0.67 of the work and small with 0.33
    And a group of small in the domain north-0
    When the domains are assigned one after the other
    Then north-0 serves small alone
    And 4 domains serve large alone and 2 serve small alone

  Scenario: A returning domain serves the model on its hosts if that has the highest demand
    Given 2 domains in each of 3 data centres
    And the models large with 0.67 of the work and small with 0.33
    And groups of large in 4 domains
    When a domain without groups returns whose hosts store small
    Then it is assigned to small

  Scenario: A returning domain does not serve a model that its hosts store for standby only
    Given 2 domains in each of 3 data centres
    And the models large with 0.67 of the work and small with 0.33
    And groups of large in 2 domains
    And groups of small in 3 domains
    When a domain without groups returns whose hosts store small
    Then it is assigned to large
