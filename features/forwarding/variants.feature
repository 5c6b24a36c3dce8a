Feature: Each check fails without the mechanism that it tests
  Each mechanism is disabled once, and the check that relies on it must fail.

  Scenario Outline: Without its mechanism a check fails
    When <check> runs without <mechanism>
    Then the check fails

    Examples:
      | check                                | mechanism                                |
      | the response to another request      | comparing the attempt of a response      |
      | the response cut by a reset          | distinguishing a reset from a close      |
      | the prefix of the reference stream   | dropping events that were forwarded      |
      | the proof of no execution            | distinguishing sent from unsent requests |
      | the retry budget                     | dividing the slack                       |
      | the newest configuration             | comparing configuration versions         |
