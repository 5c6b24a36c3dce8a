Feature: Requests that can still be on time go first
  After an outage callers that were turned away come back together with new ones.

  Scenario Outline: Urgency follows rank, then whether a request is late already
    Given a route of rank <rank> with 8 s for an answer and an objective of 0.5 s
    And a workspace whose rank is <workspace>
    When a request with a budget of <budget> s has waited <waited> s
    Then its urgency is <urgency>

    Examples:
      | rank | workspace | budget | waited | urgency |
      | 1    | none      | 8.0    | 0.1    | 2       |
      | 1    | none      | 8.0    | 0.6    | 3       |
      | 1    | none      | 7.0    | 0.0    | 3       |
      | 1    | none      | none   | 0.0    | 2       |
      | 1    | 0         | 7.0    | 0.0    | 1       |
      | 7    | none      | 8.0    | 0.0    | 9       |

  Scenario: After an outage more callers are served on time, and as many in all
    Given 13 requests at once run for 0.4 s each at one group
    When 60 callers of an outage of 3.0 s come back and 20 new ones come in the next second
    Then by urgency at least twice as many are on time as in the order of arrival
    And all are served within their time in either order
