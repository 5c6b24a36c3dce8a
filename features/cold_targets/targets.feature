Feature: A cold target counts as limited until its cold time has passed

  Scenario Outline: The permits of one second stay within the bound of <rate> per s
    Then targets that tolerate <rate> per s get permits for at least 0.8 of it and within the bound

    Examples:
      | rate  |
      | 0.01  |
      | 0.2   |
      | 1     |
      | 5     |
      | 20    |
      | 100   |
      | 10000 |

  Scenario: A target is limited for the time that its entry tells
    Given a service whose cold targets tolerate 2 per s
    When the entry of a target tells 3 s cold
    Then its limit is 2 per s at once, and none after 3 s

  Scenario: A target that turns cold again is limited again
    Given a service whose cold targets tolerate 2 per s
    When the entry of a target tells 0 s cold
    And the entry of a target tells 5 s cold
    Then its limit is 2 per s at once, and none after 5 s

  Scenario: A wrong cold time does not limit a target for good
    Given a service whose cold targets tolerate 2 per s
    When the entry of a target tells 1000000000 s cold
    Then its limit is 2 per s at once, and none after 300 s

  Scenario: Targets of services that declare nothing are not limited
    Given a service whose cold targets tolerate 0 per s
    When the entry of a target tells 3 s cold
    Then its requests need no permit

  Scenario: The lower one of a stated limit and that of a cold target holds
    Given a service whose cold targets tolerate 2 per s
    When the entry of a target tells 3 s cold
    Then a stated limit of 1 holds, and one of 9 does not

  Scenario: A request is not sent if its target turns cold while it waits for a connection
    Given a service whose cold targets tolerate 2 per s
    Then a request that needed no permit is withheld once its target is cold

  Scenario: An issuer that does not yet know that a target is cold limits it all the same
    Given a service whose cold targets tolerate 2 per s
    When the issuer has no entry of the target and is asked for 20 permits at once
    Then it grants 1
