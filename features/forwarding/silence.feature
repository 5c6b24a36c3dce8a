Feature: A stream is not ended by the silence of its target
  Guards against streams that were cut 0.3 s after the last event of a sound target that was only paused.

  Scenario Outline: A stream at a paused target ends only once it is known that nothing better comes
    Given a <kind> stream that may be sent to <attempts> targets, with a retry budget: <budget>
    And targets that are <targets>
    When the stream is forwarded
    Then the stream is <outcome> and was sent to <sent> targets

    Examples: It cannot run elsewhere
      | kind          | attempts | budget | targets                              | outcome          | sent |
      | resumable     | 2        | yes    | paused                               | whole            | 1    |
      | not resumable | 2        | yes    | paused, sound                        | whole            | 1    |
      | resumable     | 1        | yes    | paused, sound                        | whole            | 1    |
      | resumable     | 2        | no     | paused, sound                        | whole            | 1    |
      | resumable     | 2        | yes    | paused, full                         | whole            | 2    |
      | resumable     | 2        | yes    | paused, failing                      | whole            | 2    |
      | not resumable | 2        | yes    | paused before its first event, sound | whole            | 1    |

    Examples: It can run elsewhere
      | kind          | attempts | budget | targets                              | outcome          | sent |
      | resumable     | 2        | yes    | paused, sound                        | whole in 1.8 s   | 2    |
      | resumable     | 2        | yes    | lost, sound                          | whole in 1.8 s   | 2    |
      | resumable     | 2        | yes    | paused, paused later                 | whole            | 2    |
      | resumable     | 2        | yes    | paused, paused too                   | whole            | 2    |
      | resumable     | 2        | yes    | paused before its first event, sound | whole in 2.4 s   | 2    |
      | resumable     | 3        | yes    | paused, paused too, sound            | whole            | 3    |
      | resumable     | 2        | yes    | paused, slow to begin                | whole            | 2    |
      | resumable     | 3        | yes    | paused, lost too, sound              | whole in 2.0 s   | 3    |
      | resumable     | 3        | yes    | paused, lost too                     | whole in 2.4 s   | 3    |

    Examples: Its target is known to be gone
      | kind          | attempts | budget | targets                              | outcome          | sent |
      | not resumable | 2        | yes    | lost, sound                          | failed in 1.5 s  | 1    |
      | resumable     | 2        | yes    | paused, lost too                     | failed in 1.7 s  | 2    |
      | resumable     | 2        | yes    | lost, lost too                       | failed in 1.9 s  | 2    |

  Scenario Outline: A stream that waits much longer than others at its target is sent to another one as well
    Given a <kind> stream that may be sent to <attempts> targets, with a retry budget: <budget>
    And targets that are <targets>
    When the stream is forwarded
    Then the stream is <outcome> and was sent to <sent> targets
    And no target was suspected

    Examples: It is not served
      | kind          | attempts | budget | targets                               | outcome        | sent |
      | resumable     | 2        | yes    | silent to it, sound                   | whole in 3.4 s | 2    |
      | resumable     | 2        | yes    | silent to it after some events, sound | whole in 3.6 s | 2    |
      | resumable     | 3        | yes    | silent to it, silent to it, sound     | whole in 5.5 s | 3    |
      | resumable     | 2        | yes    | preempting it for 2.5 s, sound        | whole in 3.5 s | 2    |
      | resumable     | 2        | no     | silent to it, sound                   | failed         | 1    |
      | resumable     | 1        | yes    | silent to it, sound                   | failed         | 1    |
      | not resumable | 2        | yes    | silent to it, sound                   | failed         | 1    |

    Examples: It is only slower than others
      | kind          | attempts | budget | targets                         | outcome        | sent |
      | resumable     | 2        | yes    | preempting it for 1.5 s, sound  | whole          | 1    |
      | resumable     | 2        | yes    | queueing it for 2.5 s, sound    | whole          | 1    |

  Scenario Outline: A stream is overdue after half of the gap that its callers stand
    Given a <kind> route with <attempts> attempts, an objective of <objective> s and a pause limit of <pause> s
    Then its streams are overdue after <overdue> s

    Examples:
      | kind          | attempts | objective | pause | overdue |
      | resumable     | 2        | 0.3       | 0.2   | 1.0     |
      | resumable     | 2        | 1.0       | 0.2   | 2.0     |
      | resumable     | 3        | 0.5       | 0.3   | 1.2     |
      | resumable     | 1        | 0.3       | 0.2   | inf     |
      | not resumable | 2        | 0.3       | 0.2   | inf     |

  Scenario: A caller that reads slowly does not make a target look silent
    When a stream at targets that are serving others too, sound is read with 2.5 s for each piece
    Then the stream was sent to 1 target

  Scenario Outline: The log tells why an attempt was ended and which configuration was in force
    Given a not resumable stream that may be sent to 2 targets, with a retry budget: yes
    And targets that are <targets>
    When the stream is forwarded, and a new configuration is in force 0.3 s later
    Then a line "<event>" has <fields>

    Examples:
      | targets      | event             | fields                                              |
      | lost, sound  | target-silent     | begun=True own_late_s=0.0                           |
      | lost, sound  | attempt-failed    | reason=target-ended configuration=1 configuration_now=2 |
      | endless      | attempt-cancelled | silent=True sent=True configuration=1               |

  Scenario: A caller that reads slowly gets the events of two runs in order
    When a stream at a paused and a sound target is read with 0.05 s for each piece
    Then the caller has each event once, in order

  Scenario: Targets that fall silent, end, refuse and fail at random
    When streams of seeds 1 to 300 are sent to random targets
    Then each event came once and in order, within the attempts, and no stream at a sound target was cut
