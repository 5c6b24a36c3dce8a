Feature: Gateways quarantine a request that crashes engines
  The gateways in front of the project's own platform make attempts of their own. A request that crashes each engine
  that begins to run it, recognised by a phrase in its body, is sent to two gateways every 2 s.

  Scenario: After three crashes at most three more engines get the request
    Given two gateways with serving groups in virtual time
    When a request that crashes engines is sent to both every 2 s for 30 s
    Then no more than 3 engines get it later than 3 s after the third crash

  Scenario: After five crashes under different requests with one message at most three more reach engines
    Given two gateways with serving groups in virtual time
    When different requests with a message that crashes engines are sent to both every 2 s for 40 s
    Then no more than 3 engines get one later than 3 s after the fifth crash
    And requests without that message are answered

  Scenario: Restarted gateways do not send a request that they had quarantined to engines
    Given two gateways with serving groups in virtual time
    When a request that crashes engines is sent to both every 2 s for 30 s
    And both gateways restart and it is sent for 30 s more
    Then no engine gets it after that

  Scenario: A gateway does not send a request that another one has quarantined to engines
    Given two gateways with serving groups in virtual time
    When such a request is sent to one every 2 s for 30 s, then to the other
    Then no engine gets it after that
