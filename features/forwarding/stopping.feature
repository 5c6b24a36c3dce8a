Feature: A stopping daemon accepts what is certain to end in time
  Guards against requests that were accepted after the signal, as recent answers had been short, and cut at its end.

  Scenario Outline: A request is accepted if its deadline passes before the daemon ends
    Given a daemon whose streams took up to <longest> s
    When it stops, with <remaining> s left, and a stream with a budget of <budget> s comes
    Then the stream is <outcome>

    Examples:
      | longest | remaining | budget | outcome |
      | 0.3     | 5.0       | 1.0    | served  |
      | 0.3     | 5.0       | 5.0    | served  |
      | 0.3     | 5.0       | 5.1    | refused |
      | 0.3     | 7.9       | 60.0   | refused |
      | 0.3     | 8.0       | 60.0   | served  |
      | 4.0     | 2.0       | 1.9    | served  |
      | unknown | 5.0       | 4.9    | served  |
      | unknown | 5.0       | 5.1    | refused |

  Scenario Outline: While callers may have old addresses, what may be repeated is accepted if it is likely to end
    Given a daemon whose streams took up to <longest> s
    And streams that <may> be resumed
    And callers that may have its address for <cached> s more
    When it stops, with <remaining> s left, and a stream with a budget of 8.0 s comes
    Then the stream is <outcome>

    Examples:
      | longest | may    | cached | remaining | outcome |
      | 1.0     | may    | 3.0    | 7.7       | served  |
      | 1.0     | cannot | 3.0    | 7.7       | refused |
      | 1.0     | may    | 0.0    | 4.7       | refused |
      | 4.0     | may    | 3.0    | 5.9       | refused |
      | 4.0     | may    | 3.0    | 6.1       | served  |
      | unknown | may    | 3.0    | 7.7       | refused |

  Scenario: A daemon that is not stopping serves long streams
    Given a daemon whose streams took up to 4.0 s
    When a stream comes to the running daemon
    Then the stream is served

  Scenario: A request whose body does not arrive before the daemon ends is refused
    Given a daemon whose streams took up to 0.3 s
    When it stops, with 2.0 s left, while the body of a request is on its way
    Then the stream is refused

  Scenario Outline: What a stop does to a stream that arrived before it
    Given a stream at targets that are <targets>, and a stop at <stop> s with <grace> s
    When the stream is forwarded
    Then the caller gets <outcome> by <end> s after <sent> targets

    Examples: It waits for a place
      | targets      | stop | grace | outcome         | end  | sent |
      | full for 2 s | 0.5  | 7.0   | GatewayDraining | 0.51 | 0    |
      | full for 2 s | 0.5  | 7.7   | whole           | 3.3  | 1    |

    Examples: It is running
      | targets             | stop | grace | outcome             | end  | sent |
      | sound               | 0.5  | 1.0   | whole               | 1.3  | 1    |
      | slow                | 0.5  | 1.0   | StoppedWhileRunning | 1.51 | 1    |
      | lost, sound         | 0.4  | 2.0   | whole               | 2.0  | 2    |
      | paused, sound       | 0.4  | 2.0   | whole               | 1.8  | 2    |
      | paused and no other | 0.4  | 0.9   | StoppedWhileRunning | 1.31 | 1    |
