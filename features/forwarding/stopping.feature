Feature: A stopping daemon refuses requests that cannot end in time
  Callers reuse open connections until the process exits. A stream accepted 5.6 s after the
  signal was cut at the end of the grace period; refused as not run, its caller retries at once.

  Scenario Outline: A stopping daemon serves streams that can end in time and refuses others at once
    Given a daemon whose streams took up to <longest> s
    When it stops, with <remaining> s left, and a stream comes
    Then the stream is <outcome>

    Examples:
      | longest | remaining | outcome |
      | 1.0     | 5.0       | served  |
      | 1.0     | 1.6       | served  |
      | 1.0     | 1.4       | refused |
      | 4.0     | 5.0       | refused |
      | unknown | 5.0       | refused |
      | unknown | 6.5       | served  |

  Scenario: A daemon that is not stopping serves long streams
    Given a daemon whose streams took up to 4.0 s
    When a stream comes to the running daemon
    Then the stream is served
