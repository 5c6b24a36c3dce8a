Feature: The status of a group shows whether callers can use it
  A controller learns first that a group serves; the gateways, which serve the callers, learn it later.

  Scenario: A group is shown as serving only once every gateway that takes callers sees it
    Given a controller that knows that g7 serves, and gateways g1 and g2
    Then the status shows g7 as not seen by g1 and g2
    When g1 reports that it sees g7
    Then the status shows g7 as not seen by g2
    When g2 reports that it sees g7
    Then the status shows g7 as serving

  Scenario: A silent or leaving gateway does not keep a group from being shown as serving
    Given a controller that knows that g7 serves, and gateways g1 and g2
    When g1 reports that it sees g7
    And g2 reports that it is leaving
    Then the status shows g7 as serving
