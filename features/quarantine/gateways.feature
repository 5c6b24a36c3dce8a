Feature: Gateways keep a request that ends its engines from them
  The daemons before the project's own platform make attempts of their own. A request that ends each engine that
  begins to run it (its body has the words to be recognised by) comes at two gateways every 2 s. By reading, each
  gateway forgets it with its last attempt and tells no other: the same cause as in `quarantine.feature`.

  Scenario: It reaches three more engines at most once it has ended three
    Given two gateways before groups that serve, in fake time
    When a request that ends its engines comes at both every 2 s for 30 s
    Then no more than 3 engines are reached later than 3 s after the third end
