Feature: Domains are divided among the models
  An engine that holds a group's model repairs it ten times as fast as one that must load.

  Scenario: Domains follow the models' shares of the work, in several data centres
    Given 2 domains in each of 3 data centres
    And the models large with 0.67 of the work and small with 0.33
    When each domain in turn is given its models
    Then 4 domains serve large alone and 2 serve small alone
    And the domains of small are in 2 data centres

  Scenario: A model for which two domains are not to be had shares all domains
    Given 1 domain in each of 3 data centres
    And the models large with 0.67 of the work and small with 0.33
    When each domain in turn is given its models
    Then every domain serves any model and keeps 2 spares

  Scenario: Coordinators that begin at the same time divide the domains as one would
    Given 5 domains in each of 3 data centres
    And the models large with 0.67 of the work and small with 0.33
    When each domain is given its models while no other one has any yet
    Then the domains have the models that they get one after the other

  Scenario: A domain keeps the model that its groups serve
    Given 2 domains in each of 3 data centres
    And the models large with 0.67 of the work and small with 0.33
    And a group of small in the domain north-0
    When each domain in turn is given its models
    Then north-0 serves small alone
    And 4 domains serve large alone and 2 serve small alone

  Scenario: A domain that comes back serves what its hosts hold, if that is wanted most
    Given 2 domains in each of 3 data centres
    And the models large with 0.67 of the work and small with 0.33
    And groups of large in 4 domains
    When a domain without groups comes back whose engines hold small
    Then it shall serve small

  Scenario: A domain that comes back does not serve what its hosts only stand by for
    Given 2 domains in each of 3 data centres
    And the models large with 0.67 of the work and small with 0.33
    And groups of large in 2 domains
    And groups of small in 3 domains
    When a domain without groups comes back whose engines hold small
    Then it shall serve large
