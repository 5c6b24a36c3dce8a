Feature: A booking runs at most once, and its reported outcome is true
  Three gateways in virtual time get bookings with minted keys, callers' own keys and none, sent once or several
  times, to several gateways. Gateways crash, freeze, are partitioned or stop as planned; the table and the object
  store go down or lose replies; services refuse, disconnect or answer another call. The oracle compares the
  outcomes with the runs that the services recorded.

  Scenario: Random faults make no booking run twice and no outcome false
    When 60 random booking runs are made from seed 0
    Then no booking ran twice
    And no booking that ran was reported as "not run"
    And every completed booking ran once and got the same answer each time

  Scenario Outline: The oracle detects a disabled mechanism
    When booking runs are made with <variant>
    Then a violation was found

    Examples:
      | variant                                 |
      | retries after an unknown outcome        |
      | keys without a home gateway             |
      | outcomes dropped with their key window  |
      | unconditional claims                    |
      | lost connections reported as not run    |

  Scenario: A gateway that stops between two attempts of a repeatable call reports an unknown outcome
    Given an in-process site in virtual time with 4 groups granted
    When the first attempt fails after it ran and the gateway then stops
    Then the caller gets the outcome "unknown"
