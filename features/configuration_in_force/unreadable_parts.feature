Feature: What is empty or cannot be read in a configuration allows nothing
  Guards against a configuration without a single key, or without a readable one, that let every caller in.

  Scenario Outline: Keys that are not declared, not there and not readable differ
    Given a configuration whose workspaces are <workspaces>
    Then a request with <key> to a route that needs a key gets <private>
    And a request with <key> to a public route gets <public>

    Examples: No key is needed
      | workspaces   | key    | private  | public   |
      | not declared | no key | no workspace | no workspace |
      | not declared | key k1 | no workspace | no workspace |

    Examples: Nobody has a key
      | workspaces        | key    | private | public       |
      | none              | no key | 401     | no workspace |
      | none              | key k1 | 401     | no workspace |
      | one without keys  | key k1 | 401     | no workspace |
      | one with no list  | key k1 | 401     | no workspace |
      | one with an empty key | empty key | 401 | no workspace |
      | one with an empty key | no key | 401 | no workspace |

    Examples: Some keys are known
      | workspaces            | key    | private | public       |
      | north with k1         | key k1 | north   | north        |
      | north with k1         | key k2 | 401     | no workspace |
      | north with k1         | no key | 401     | no workspace |

    Examples: Not all keys can be read
      | workspaces                | key    | private | public       |
      | a number                  | key k1 | 503     | no workspace |
      | null                      | key k1 | 503     | no workspace |
      | a table                   | no key | 503     | no workspace |
      | one with a number as keys | key k1 | 503     | no workspace |
      | north and a broken one    | key k1 | north   | north        |
      | north and a broken one    | key k2 | 503     | no workspace |

  Scenario Outline: A route that cannot be read is not replaced by a shorter one
    Given a configuration with a route for /a/ and one for /a/b/ with <fault>
    Then a request for /a/b/x gets <status>
    And a request for /a/x is routed
    And the faulty route is reported

    Examples:
      | fault                     | status |
      | a time-out that is a text | 503    |
      | no service                | 503    |
      | back ends of no weight    | 503    |

  Scenario: Nothing is sent to a service that cannot be read, as its limits are not known
    Given a configuration with a service s and one whose limit for cold targets is a text
    Then requests to s are sent, and those to the other one get 503

  Scenario: A time budget that is no finite number is refused
    Then requests with the time budgets nan, inf, -inf and soon get 400

  Scenario: The last key is taken away, given back, and taken away from a daemon that starts
    Given a platform with three daemons, whose groups serve
    When all keys are taken away
    Then every daemon refuses the old key, an unknown one and none with 401
    And no target ran a request of an unknown key
    When a daemon is started again
    Then every daemon refuses the old key, an unknown one and none with 401
    When the key is given back
    Then every daemon accepts the old key and refuses an unknown one
    When the workspaces become unreadable
    Then every daemon refuses the old key, an unknown one and none with 503
    And the logs of all daemons name the unreadable part
    When the workspaces are no longer declared
    Then every daemon accepts every caller
