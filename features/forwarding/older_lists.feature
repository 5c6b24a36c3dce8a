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

  Scenario Outline: A stream that goes on after a later list runs at the target which that one shows
    Given a not resumable stream that may be sent to 2 targets, with a retry budget: yes
    And targets that are <targets>
    And a list that still had <before> of the first one
    And the list has <listed> of the first one from <at> s on
    And then <then> of it from 0.9 s on
    When the stream is forwarded
    Then the stream is <outcome> and was sent to 1 targets

    Examples:
      | targets                          | before                 | listed              | at  | then                | outcome         |
      | paused for 1.0 s at 0.7 s, sound | an earlier incarnation | its entry           | 0.2 | its entry           | whole           |
      | paused for 1.0 s at 0.7 s, sound | an earlier group       | its entry           | 0.2 | its entry           | whole           |
      | paused for 1.0 s at 0.7 s, sound | an earlier incarnation | its entry           | 0.2 | no entry            | whole           |
      | lost at 0.7 s, sound             | an earlier incarnation | its entry           | 0.2 | a later incarnation | failed in 1.1 s |
      | lost at 0.7 s, sound             | an earlier incarnation | its entry           | 0.2 | its group as broken | failed in 1.1 s |
      | lost at 0.7 s, sound             | an earlier incarnation | its entry           | 0.8 | its entry           | failed in 1.1 s |
      | lost at 0.7 s, sound             | an earlier incarnation | a later incarnation | 0.8 | a later incarnation | failed in 1.1 s |
      | lost at 0.7 s, sound             | its entry              | its group as broken | 0.2 | a later incarnation | failed in 1.3 s |
