Feature: At most once, and a truthful refusal
  Three gateways in fake time take bookings with minted keys, own keys and none, sent
  once or several times, at several gateways, while gateways crash, freeze, are cut off
  or stop as planned, the table and the object store go down or lose replies, and the
  services refuse, break off or answer another call. The oracle is what the services
  recorded.

  Scenario: Random faults
    When 60 booking runs are made from seed 0
    Then no booking ran twice
    And no caller was told "not run" of a booking that ran
    And every completed booking ran once and was answered the same each time

  Scenario Outline: The check fails without a mechanism
    When booking runs are made with <variant>
    Then a violation was found

    Examples:
      | variant                              |
      | a retry after an unknown outcome     |
      | keys without a home                  |
      | outcomes forgotten with their window |
      | claims without a condition           |
      | not run told without proof           |

  Scenario: A gateway stops between two attempts of a repeatable call
    Given a small site in fake time with 4 groups granted
    When the first attempt breaks off after it ran and the gateway then stops
    Then the caller is told "unknown"
