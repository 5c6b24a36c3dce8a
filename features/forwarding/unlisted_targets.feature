Feature: A stream is not ended because its target has no entry
  Guards against streams that were cut after 2 s of silence of a sound target whose entry had lapsed while the store was away.

  Scenario Outline: A silent target without an entry is given up only once its end is known
    Given a <kind> stream that may be sent to 2 targets, with a retry budget: yes
    And targets that are <targets>
    And the list has <listed> of the first one from 0.6 s on
    And its host <host>
    When the stream is forwarded
    Then the stream is <outcome> and was sent to <sent> targets

    Examples: It is only paused
      | kind          | targets                 | listed   | host                                 | outcome        | sent |
      | not resumable | paused for 3.0 s, sound | no entry | accepts connections                  | whole          | 1    |
      | resumable     | paused for 3.0 s, sound | no entry | accepts connections                  | whole in 1.8 s | 2    |
      | resumable     | paused for 3.0 s, full  | no entry | accepts connections                  | whole          | 2    |
      | not resumable | paused for 3.0 s, sound | no entry | refuses connections                  | whole          | 1    |
      | not resumable | paused for 3.0 s, sound | no entry | resets connections                   | whole          | 1    |
      | not resumable | paused for 3.0 s, sound | no entry | does not answer two connections      | whole          | 1    |
      | not resumable | paused for 3.0 s, sound | no entry | does not answer, like all the others | whole          | 1    |

    Examples: It has ended
      | kind          | targets     | listed                        | host                | outcome         | sent |
      | not resumable | lost, sound | no entry                      | does not answer     | failed in 2.8 s | 1    |
      | resumable     | lost, full  | no entry                      | does not answer     | failed in 3.5 s | 2    |
      | not resumable | lost, sound | another target at its address | accepts connections | failed in 1.0 s | 1    |
