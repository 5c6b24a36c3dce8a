Feature: A booking whose deadline has passed is not forwarded to the home of its key

  Scenario Outline: A deadline that has passed is not taken for none, nor for a negative time-out
    Given a keyed call whose deadline is <seconds> s from now
    When it reaches a gateway that is not the key's home
    Then the caller learns that the outcome is unknown, and nothing was forwarded

    Examples:
      | seconds |
      | 0       |
      | -0.5    |

  Scenario: A deadline to come limits the wait for the home
    Given a keyed call whose deadline is 0.5 s from now
    When it reaches a gateway that is not the key's home
    Then it is forwarded with 0.5 s left
