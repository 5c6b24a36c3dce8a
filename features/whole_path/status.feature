Feature: Status tells what callers find
  A controller knows first that a group serves. Callers are served by gateways, which hear of it later.

  Scenario: A group serves once every gateway that takes callers knows it
    Given a controller that knows g7 to serve, and the gateways g1 and g2
    Then status says that g7 is not seen by g1 and g2
    When g1 says that it sees g7
    Then status says that g7 is not seen by g2
    When g2 says that it sees g7
    Then status says that g7 serves

  Scenario: A gateway that is silent or leaving does not count
    Given a controller that knows g7 to serve, and the gateways g1 and g2
    When g1 says that it sees g7
    And g2 says that it is leaving
    Then status says that g7 serves
