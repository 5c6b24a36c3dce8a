Feature: Requests that can still meet their objective go first
  After an outage, refused callers retry while new requests arrive.

  Scenario Outline: Urgency depends on the priority and on whether the objective is missed
    Given a route of priority <route> with a time-out of 8 s and an objective of 0.5 s
    And a workspace of priority <workspace>
    When a request with a budget of <budget> s has waited <waited> s
    Then its urgency is <urgency>

    Examples:
      | route | workspace | budget | waited | urgency |
      | 1     | none      | 8.0    | 0.1    | 2       |
      | 1     | none      | 8.0    | 0.6    | 3       |
      | 1     | none      | 7.0    | 0.0    | 3       |
      | 1     | none      | none   | 0.0    | 2       |
      | 1     | 0         | 7.0    | 0.0    | 1       |
      | 7     | none      | 8.0    | 0.0    | 9       |

  Scenario: After an outage urgency gets more requests served on time, and none is lost
    Given a group that runs 13 requests at once for 0.4 s each
    When 60 callers retry after an outage of 3.0 s and 20 new ones come in the next second
    Then by urgency at least twice as many are on time as in the order of arrival
    And all are served before their time-out in either order
