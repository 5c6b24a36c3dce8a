Feature: Rate limits that targets state in their responses
  A target under pressure states in each response how many requests per second it accepts from all daemons together.

  Scenario Outline: Each value of the header has one meaning
    When a response has the rate limit headers "<values>"
    Then it states <meaning>

    Examples:
      | values     | meaning       |
      |            | no limit      |
      | 1.1        | 1.1 per s     |
      | 0.2        | 0.2 per s     |
      | 50         | 50.0 per s    |
      | 007.50     | 7.5 per s     |
      | 0          | nothing       |
      | 0.0        | nothing       |
      | -1         | nothing       |
      | +1         | nothing       |
      | nan        | nothing       |
      | inf        | nothing       |
      | 1e9        | nothing       |
      | 1,5        | nothing       |
      | .5         | nothing       |
      | 5 per s    | nothing       |
      | empty      | nothing       |
      | 2;2        | nothing       |
      | 2;3        | nothing       |

  Scenario: A malformed limit is logged once for each target and changes nothing
    Given a target that states a limit of 2 per s
    When it responds three times with a malformed limit
    Then its limit is still 2 per s
    And one warning names it

  Scenario: A response of another target at the same address states nothing about this one
    When a target at a reused address answers 421 with a limit of 3 per s
    Then no limit is known

  Scenario: A target that has restarted under its id has no limit
    Given a target that states a limit of 2 per s
    Then no limit is known for its next incarnation

  Scenario: Newer statements replace older ones, whatever the order in which they arrive
    Given a limit of 2 per s stated at 10 s
    Then the statement of 3 per s at 9 s changes nothing
    And the statement of no limit at 11 s ends the limit
    And the statement of 2 per s at 10.5 s changes nothing

  Scenario: Small changes of a limit are followed but not logged
    Given a target that states a limit of 2 per s
    When it adjusts its limit in 40 responses by 1 % each
    Then its limit is 40 % higher
    And 4 lines were logged at most

  Scenario: Targets that are no longer listed are forgotten
    Given a target that states a limit of 2 per s
    When it disappears from the list
    Then no limit is known
