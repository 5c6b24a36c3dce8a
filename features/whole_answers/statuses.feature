Feature: What has no status of an answer is none
  A final status is 200 to 599, an interim one 100 or 102 to 199. Everything else ends the attempt at once.

  Scenario Outline: A reader of answers takes status <status> for none, at once
    Given an answer with status <status> on a connection that is kept
    When a client reads an answer with that status
    Then it has failed as malformed-answer within 0.5 s

    Examples:
      | status |
      | 000    |
      | 099    |
      | 101    |
      | 600    |
      | 999    |

  Scenario Outline: A gateway takes status <status> for none
    Given an answer with status <status> on a connection that is kept
    When a gateway calls a service that answers with that status
    Then it has failed as malformed-answer within 0.5 s

    Examples:
      | status |
      | 000    |
      | 600    |
      | 999    |

  Scenario Outline: An answer after an interim status <status> is whole
    Given an answer with status <status> and then a sound one
    When a client reads an answer with that status
    Then it has the sound answer

    Examples:
      | status |
      | 100    |
      | 103    |
      | 199    |

  Scenario Outline: An answer <status> that states a length has none
    Given an answer with status <status> on a connection that is kept
    When a client reads an answer with that status
    Then it has an empty answer without a length

    Examples:
      | status |
      | 204    |
      | 304    |

  Scenario Outline: Callers of all kinds of routes are told of a failure when a target answers with status <status>
    Given two daemons and a target that stops at a byte of its answer
    When callers ask for all kinds of answers, whose status is <status>
    Then each is told within 1.0 s that the outcome is unknown
    And no daemon has logged a crash

    Examples:
      | status |
      | 000    |
      | 099    |
      | 600    |
      | 999    |

  Scenario: A request that crashes in the daemon is answered with a typed error
    Given a daemon that fails in an unknown way as it forwards
    When a caller sends a request to the failing daemon
    Then the caller is told that the outcome is unknown
