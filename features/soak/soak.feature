Feature: Soak test of the real programs under random faults
  Daemons run as separate processes behind loopback proxies; faults come in series and
  overlap. `scripts/soak FIRST LAST` runs more seeds.

  Scenario: Daemon, store, link and target faults violate no guarantee
    When the soak test runs seeds 1 to 2 with 6 s of faults each
    Then no guarantee was violated

  Scenario: Restarted engines and malformed entries violate no guarantee
    When the soak test runs seeds 1001 to 1002 with 6 s of faults each
    Then no guarantee was violated

  Scenario: Requests that crash their targets violate no guarantee
    When the soak test runs seeds 2001 to 2001 with 6 s of faults each
    Then no guarantee was violated

  Scenario: Targets that state rate limits get no more requests than those tolerate
    When the soak test runs seeds 4001 to 4001 with 6 s of faults each
    Then no guarantee was violated

  Scenario: Targets that ask for pauses get no requests within them
    When the soak test runs seeds 5001 to 5001 with 6 s of faults each
    Then no guarantee was violated

  Scenario: Sound targets that pause or take long, and callers without keys, violate no guarantee
    When the soak test runs seeds 8003 to 8003 with 6 s of faults each
    Then no guarantee was violated

  Scenario: Targets that fall silent together beside configurations, reloads and stops violate no guarantee
    When the soak test runs seeds 9002 to 9002 with 6 s of faults each
    Then no guarantee was violated
    And at least 5 streams were checked for a cut in a silence

  Scenario: Targets that fail while daemons are killed get no more repeats than the budget allows
    When the soak test runs seeds 10000 to 10000 with 6 s of faults each
    Then no guarantee was violated

  Scenario Outline: A violated guarantee is reported
    Given a soak test's history in which <what happened>
    Then the checks report "<finding>"

    Examples:
      | what happened                                          | finding                         |
      | a stream lacks an event                                | wrong response body             |
      | a booking ran twice                                    | ran 2 times                     |
      | a booking that was reported as not run had run         | reported as not run, but it ran |
      | a booking succeeded without an execution               | success without an execution    |
      | a planned stop interrupted a stream                    | interrupted by planned maintenance |
      | a stream is cut while its targets are silent beside a configuration | or a silence       |
      | a stream is cut while its targets are silent beside a key change    | or a silence       |
      | a stream is cut while its targets are silent during a reload        | or a silence       |
      | a stream that may not be resumed ran twice             | ran 2 times                     |
      | a stream that may not be resumed was reported as not run, but had run | reported as not run, but it ran |
      | a stream on a kept connection is cut after it reached a target | interrupted by planned maintenance |
      | a stream on a kept connection is held for 0.5 s and not passed on | interrupted by planned maintenance |
      | a stream on a new connection is closed and not passed on       | interrupted by planned maintenance |
      | a key is accepted 4 s after it was revoked             | accepted a revoked key          |
      | a key is accepted 4 s after all were taken away        | served although no key exists   |
      | a new key is refused 4 s after it was added            | refused a valid key             |
      | a daemon accepts an old key after a newer one          | reverted to an older            |
      | a target gets a request 4 s after it began to drain    | sent to a target that has been draining |
      | a process exited unexpectedly                          | process exited unexpectedly     |
      | a target with a limit of 1 per s gets 12 requests in 4 s | 1.09 times the tolerated        |
      | a target gets 3 requests within a pause that it asked for | 3 requests within a pause       |
      | a request reaches 4 targets 4 s after it crashed three | 4 late arrivals                 |
      | a stream reaches its deadline while the platform stands still for 0.8 s | or a silence    |
      | a stream is cut before its deadline while the platform stands still for 1.2 s | or a silence |
      | targets get 5 repeats of 10 requests, 4 are allowed    | beyond the retry budget         |

  Scenario Outline: Effects of injected faults are not reported
    Given a soak test's history in which <what happened>
    Then the checks report nothing

    Examples:
      | what happened                                          |
      | a killed daemon interrupted a stream                   |
      | a stream is cut while its targets are silent and the store is away |
      | a stream on a kept connection crosses the close of a stop |
      | a key is accepted 4 s after it was revoked, without the store |
      | a target gets a request 1 s after it began to drain    |
      | a request reaches 3 targets 4 s after it crashed three |
      | targets get 4 repeats of 10 requests, 4 are allowed    |
      | a stream reaches its deadline while the platform stands still for 1.2 s |
      | a target with a limit of 1 per s gets 11 requests in 4 s |
      | a target gets 2 requests within a pause that it asked for |
