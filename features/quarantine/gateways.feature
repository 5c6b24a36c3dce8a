Feature: Gateways keep a request that ends its engines from them
  The daemons before the project's own platform make attempts of their own. A request that ends each engine that
  begins to run it (its body has the words to be recognised by) comes at two gateways every 2 s.

  Scenario: It reaches three more engines at most once it has ended three
    Given two gateways before groups that serve, in fake time
    When a request that ends its engines comes at both every 2 s for 30 s
    Then no more than 3 engines are reached later than 3 s after the third end

  Scenario: Gateways that start anew keep it from engines that they know it would end
    Given two gateways before groups that serve, in fake time
    When a request that ends its engines comes at both every 2 s for 30 s
    And both gateways start anew and it comes for 30 s more
    Then no engine is reached after that

  Scenario: A gateway keeps it from engines that another gateway knows it would end
    Given two gateways before groups that serve, in fake time
    When such a request comes at one every 2 s for 30 s, then at the other
    Then no engine is reached after that
