Feature: Pauses that targets ask for when they refuse requests
  A target that refuses a request may state for how long it wants no further requests from the daemon that sent it.

  Scenario Outline: Each value of the header has one meaning
    When a response with status <status> has the headers "<headers>"
    Then it asks for <pause>

    Examples:
      | status | headers                                                                                       | pause       |
      | 503    | retry-after: 3                                                                                | 3 s         |
      | 503    | retry-after: 0.25                                                                             | 0.25 s      |
      | 429    | retry-after: 3                                                                                | 3 s         |
      | 200    | retry-after: 3                                                                                | no pause    |
      | 502    | retry-after: 3                                                                                | no pause    |
      | 503    | other: 3                                                                                      | no pause    |
      | 503    | retry-after: 0                                                                                | no pause    |
      | 503    | retry-after:                                                                                  | nothing     |
      | 503    | retry-after: -1                                                                               | nothing     |
      | 503    | retry-after: nan                                                                              | nothing     |
      | 503    | retry-after: inf                                                                              | nothing     |
      | 503    | retry-after: 1e9                                                                              | nothing     |
      | 503    | retry-after: soon                                                                             | nothing     |
      | 503    | retry-after: 3; retry-after: 3                                                                | nothing     |
      | 503    | date: Thu, 03 Dec 2026 10:00:00 GMT; retry-after: Thu, 03 Dec 2026 10:00:05 GMT               | 5 s         |
      | 503    | date: Thu, 03 Dec 2026 10:00:00 GMT; retry-after: Thu, 03 Dec 2026 09:59:00 GMT               | no pause    |
      | 503    | date: today; retry-after: Thu, 03 Dec 2026 10:00:05 GMT                                       | nothing     |
      | 503    | retry-after: Thu, 01 Jan 2015 00:00:00 GMT                                                    | no pause    |
      | 503    | retry-after: Thu, 32 Dec 2026 10:00:05 GMT                                                    | nothing     |

  Scenario: A target cannot take itself out of service for good
    When a target asks for a pause of 999999999 s
    Then its pause ends after 60 s

  Scenario: A shorter pause does not end a longer one
    When a target asks for a pause of 5 s, and 1 s later for one of 2 s
    Then its pause ends after 5 s

  Scenario: A pause is logged once, and a malformed one once for each target
    When a target asks three times within a pause of 3 s
    And another target asks three times for a pause of "soon"
    Then one line names the pause of the first target, and one the header of the second
