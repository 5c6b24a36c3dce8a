Feature: An engine that starts again under its id begins anew
  The platform tells an engine's lives apart by the time of their start. What was known of an
  earlier life says nothing of a later one, and order counts begin at nothing again.

  Scenario: What was known of an earlier life ends with it
    Given the engine e1, ready in g1 at epoch 4, silent, slow, with 5 orders
    When the list tells of a later life of e1 that is in no group
    Then e1 has no order count, is not silent, not slow, and was never ready in g1

  Scenario: A report may tell of a later life before the list does
    Given the engine e1, ready in g1 at epoch 4, silent, slow, with 5 orders
    When a report of a later life of e1 says that it is in no group, with 0 orders
    Then e1 has taken 0 orders and was never ready in g1
    When the list repeats the entry of the earlier life of e1
    Then e1 has taken 0 orders and was never ready in g1
    When the list tells of a later life of e1 that is in no group
    Then e1 has taken 0 orders and was never ready in g1

  Scenario: A report of an earlier life that comes late says nothing
    Given the engine e1, ready in g1 at epoch 4, silent, slow, with 5 orders
    When the list tells of a later life of e1 that is in no group
    And a report of the earlier life of e1 says that it is ready in g1, with 6 orders
    Then e1 has no order count, is not silent, not slow, and was never ready in g1

  Scenario: A plan tells of a life that the list has not told yet
    Given the engine e1, ready in g1 at epoch 4, silent, slow, with 5 orders
    When a plan holds the later life of e1 in g1 at epoch 5
    Then e1 has no order count, is not silent, not slow, and was never ready in g1

  Scenario: A member that started again is no member, and the group gets another epoch
    Given a domain of large with g1 on e1 e2 e3 e4, all of which hold large
    When e3 starts again
    Then g1 holds e1 e2 e4 e3 in their present lives at a newer epoch

  Scenario: A member that loads is not swapped for one whose earlier life stands in the list
    Given a domain of large with g1 on e1 e2 e3 e4, all of which hold large
    When e3 starts again, e1 is lost and e2 is 5 s away from being ready
    Then no group holds an engine twice

  Scenario: A head that started again has left its group
    Given a retired group on e1 e2 whose head e1 has started again
    Then e2 is free, and e1 is not yet
    When a report of the new life of e1 says that it is in no group
    Then e1 and e2 are free

  Scenario: An entry of a service without models names no engine
    Given a coordinator that knows the services llm and desk, of which llm has models
    When entries of llm, desk and nobody come, all with the domain d1
    Then only the entry of llm is an engine of d1

  Scenario: A plan that cannot be read leaves the other domains to be tended
    Given a coordinator whose store has a readable plan of d1 and an unreadable one of d2
    When it coordinates for 3 s
    Then it forms groups in d1 and does nothing in d2

  Scenario: What another engine reports at the same address is no evidence of a member
    Given a planned group g1 of e1 and e2 at epoch 5, and a report from the address of e2
    When the report says that its engine is ready in g1 at epoch 5 with rank 0
    Then e2 was not ready in g1
    When the report says that its engine is ready in g1 at epoch 5 with rank 1
    Then e2 was ready in g1

  Scenario: An engine whose address another one has is not used
    Given a planned group g1 of e1 and e2 at epoch 5, and a report from the address of e2
    When an order to e2 is answered by another engine
    Then e2 is not live, and reports from its address change nothing
    And it is not live when its entry is listed again
    But it is live when its entry names another address
