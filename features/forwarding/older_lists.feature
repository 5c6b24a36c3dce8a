Feature: A stream is not ended by a list that is older than the one its target was chosen from
  Guards against streams that were cut because a restored store, or a late peer, listed an earlier incarnation of a sound target.

  Scenario Outline: Only what began later shows that the target of a silent stream has ended
    Given a not resumable stream that may be sent to 2 targets, with a retry budget: yes
    And targets that are <targets>
    And the list has <listed> of the first one from 0.6 s on
    And its host <host>
    When the stream is forwarded
    Then the stream is <outcome> and was sent to 1 targets

    Examples: It is only paused
      | targets                 | listed                                   | host                | outcome |
      | paused for 3.0 s, sound | its entry                                | accepts connections | whole   |
      | paused for 3.0 s, sound | an earlier incarnation                   | accepts connections | whole   |
      | paused for 3.0 s, sound | an earlier incarnation in a broken group | accepts connections | whole   |
      | paused for 3.0 s, sound | no incarnation                           | accepts connections | whole   |
      | paused for 3.0 s, sound | an earlier group, broken                 | accepts connections | whole   |
      | paused for 3.0 s, sound | no group                                 | accepts connections | whole   |
      | paused for 3.0 s, sound | it as leaving                            | accepts connections | whole   |

    Examples: It has ended
      | targets                 | listed                                   | host                | outcome         |
      | lost, sound             | a later incarnation                      | accepts connections | failed in 0.9 s |
      | lost, sound             | its group as broken                      | accepts connections | failed in 0.9 s |
      | lost, sound             | a later group                            | accepts connections | failed in 0.9 s |
      | lost, sound             | an earlier incarnation                   | does not answer     | failed in 2.8 s |
