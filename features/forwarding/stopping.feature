Feature: A daemon that stops refuses what cannot end in time
  Callers use open connections until the process ends. A stream taken 5.6 s after the signal
  was cut at the end of the grace; its caller could have gone elsewhere at once.

  Scenario Outline: What still ends is served, the rest is refused as not run, at once
    Given a daemon whose streams took up to <longest> s
    When it stops, with <left> s left, and a stream comes
    Then the stream is <outcome>

    Examples:
      | longest | left | outcome |
      | 1.0     | 5.0  | served  |
      | 1.0     | 1.6  | served  |
      | 1.0     | 1.4  | refused |
      | 4.0     | 5.0  | refused |
      | unknown | 5.0  | refused |
      | unknown | 6.5  | served  |

  Scenario: A daemon that does not stop serves whatever comes
    Given a daemon whose streams took up to 4.0 s
    When a stream comes and nothing stops
    Then the stream is served
