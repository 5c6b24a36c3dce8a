Feature: A restarted engine is a new incarnation
  The platform distinguishes incarnations of an engine by their start time. State of an earlier
  incarnation does not apply to a later one, and order counts start at zero again.

  Scenario: State of an earlier incarnation is discarded
    Given the engine e1, ready in g1 at epoch 4, silent, slow, with 5 orders
    When the target list has a later incarnation of e1 that is in no group
    Then e1 has no order count, is not silent, not slow, and was never ready in g1

  Scenario: A report may show a later incarnation before the target list does
    Given the engine e1, ready in g1 at epoch 4, silent, slow, with 5 orders
    When a report of a later incarnation of e1 says that it is in no group, with 0 orders
    Then e1 has accepted 0 orders and was never ready in g1
    When the target list repeats the entry of the earlier incarnation of e1
    Then e1 has accepted 0 orders and was never ready in g1
    When the target list has a later incarnation of e1 that is in no group
    Then e1 has accepted 0 orders and was never ready in g1

  Scenario: A late report of an earlier incarnation is ignored
    Given the engine e1, ready in g1 at epoch 4, silent, slow, with 5 orders
    When the target list has a later incarnation of e1 that is in no group
    And a report of the earlier incarnation of e1 says that it is ready in g1, with 6 orders
    Then e1 has no order count, is not silent, not slow, and was never ready in g1

  Scenario: A plan may show a later incarnation before the target list does
    Given the engine e1, ready in g1 at epoch 4, silent, slow, with 5 orders
    When a plan has the later incarnation of e1 in g1 at epoch 5
    Then e1 has no order count, is not silent, not slow, and was never ready in g1

  Scenario: A group with a restarted member is re-formed at a newer epoch
    Given a domain of large with g1 on e1 e2 e3 e4, all of which store large
    When member e3 restarts
    Then g1 has e1 e2 e4 e3 in their current incarnations at a newer epoch

  Scenario: A loading member is not replaced by an engine that is already a member
    Given a domain of large with g1 on e1 e2 e3 e4, all of which store large
    When member e3 restarts, e1 is lost and e2 is 5 s away from being ready
    Then no group has an engine twice

  Scenario: A restarted head has left its group
    Given a retired group on e1 e2 whose head e1 has restarted
    Then e2 is free, and e1 is not yet
    When a report of the new incarnation of e1 says that it is in no group
    Then e1 and e2 are free

  Scenario: Entries of a service without models are no engines
    Given a coordinator with the services llm and desk, of which llm has models
    When entries of llm, desk and nobody arrive, all with the domain d1
    Then only the entry of llm is an engine of d1

  Scenario: A plan that cannot be decoded does not affect other domains
    Given a coordinator whose store has a readable plan of d1 and an unreadable one of d2
    When it coordinates for 3 s
    Then it forms groups in d1 and does nothing in d2

  Scenario: A report of another engine at the same address is no evidence about a member
    Given a planned group g1 of e1 and e2 at epoch 5, and a report from the address of e2
    When the report says that its engine is ready in g1 at epoch 5 with rank 0
    Then e2 was not ready in g1
    When the report says that its engine is ready in g1 at epoch 5 with rank 1
    Then e2 was ready in g1

  Scenario: An engine whose address now belongs to another engine is not used
    Given a planned group g1 of e1 and e2 at epoch 5, and a report from the address of e2
    When an order to e2 is answered by another engine
    Then e2 is not live, and reports from its address change nothing
    And it is not live when its entry is listed again
    But it is live when its entry has another address
