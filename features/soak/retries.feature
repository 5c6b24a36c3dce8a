Feature: Repeats beyond what is allowed are reported

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

  Scenario Outline: A request that runs at more targets than its route allows is reported
    Given a request that its caller sent <sent> times, and daemons took 1 times
    When it arrives at <count> targets, of which the first <refusing> refuse it
    Then it ran at too many targets: <reported>

    Examples:
      | sent | count | refusing | reported |
      | 1    | 2     | 0        | no       |
      | 1    | 3     | 0        | yes      |
      | 1    | 3     | 1        | no       |
      | 2    | 3     | 0        | no       |

  Scenario Outline: A request that is sent with more time than is left is reported
    Given a request that its caller sent 1 times, and daemons took 1 times
    When it arrives with <first> s, and <after> s later with <second> s
    Then more time than its caller waits: <overlong>; a later end: <extended>

    Examples:
      | first | after | second | overlong | extended |
      | 2.5   | 1.0   | 1.5    | no       | no       |
      | 2.5   | 1.0   | 2.5    | no       | yes      |
      | 3.5   | 0.1   | 1.0    | yes      | no       |
