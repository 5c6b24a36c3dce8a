Feature: Repeats that no daemon took from the retry budget are reported

  Scenario Outline: A repeat needs a line of a daemon, unless the lack of one is explained
    Given a request that its caller sent <sent> times, and daemons took <taken> times
    When it arrives twice, and <killed> is killed <when>
    Then repeats without an explanation are reported: <reported>

    Examples:
      | sent | taken | killed         | when            | reported |
      | 1    | 0     | no daemon      | at any time     | yes      |
      | 1    | 1     | no daemon      | at any time     | no       |
      | 2    | 0     | no daemon      | at any time     | no       |
      | 1    | 0     | its daemon     | during the call | no       |
      | 1    | 0     | its daemon     | after the call  | yes      |
      | 1    | 0     | another daemon | during the call | yes      |
