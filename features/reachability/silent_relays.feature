Feature: A relayed request is not ended because heartbeats of its relay are missing
  Guards against relayed streams that were cut after 1 s without an event because the daemon had read no heartbeat of a sound relay.

  Scenario Outline: A silent relay is given up only once its end is known
    Given a request that is relayed by a daemon that sends nothing
    And heartbeats of that daemon that <heartbeats>
    And connections to it that are <connections>
    When <seconds> s have passed without an event
    Then the relayed request is <outcome>

    Examples: The relay may be sound
      | heartbeats                  | connections                  | seconds | outcome |
      | arrive                      | accepted                     | 8.0     | kept    |
      | arrive                      | not answered                 | 8.0     | kept    |
      | are missing                 | accepted                     | 8.0     | kept    |
      | are missing                 | refused                      | 8.0     | kept    |
      | are missing                 | not answered, like to others | 8.0     | kept    |
      | are missing for 2 s         | accepted                     | 8.0     | kept    |
      | name an earlier incarnation | accepted                     | 8.0     | kept    |

    Examples: The relay has ended
      | heartbeats                  | connections                  | seconds | outcome |
      | are missing                 | not answered                 | 1.0     | kept    |
      | are missing                 | not answered                 | 2.8     | ended   |
      | name a later incarnation    | accepted                     | 1.0     | kept    |
      | name a later incarnation    | accepted                     | 1.3     | ended   |
