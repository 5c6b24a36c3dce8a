Feature: What one daemon finds out about a request, all daemons know in time
  Over the daemons' own links, in fake time; times are from the third end. Each end is seen by another daemon, and
  evidence and verdicts are datagrams that may be lost. The users' bound is 3 s.

  Scenario Outline: Three daemons see one end each, and all daemons refuse the request
    `measurements/quarantine_spread.py` plays 195 and 405 daemons, which takes minutes.
    Given <places> data centres of <daemons> daemons, losing <lost> in 100 datagrams
    When three of them see one target end each under the same request
    Then all daemons refuse it 2.5 s later
    And no daemon sends more than <bytes> bytes a second for it from then on

    Examples:
      | places | daemons | lost | bytes |
      | 1      | 8       | 2    | 1000  |
      | 1      | 8       | 30   | 1000  |
      | 3      | 12      | 10   | 2000  |

  Scenario: A daemon that was cut off or has just started learns of it within 2.5 s
    Given 3 data centres of 12 daemons, losing 10 in 100 datagrams
    When three of them see one target end each under the same request
    And 12 daemons were cut off until 3 s after that
    Then all daemons refuse it 2.5 s later

  Scenario: Without repetition daemons that were cut off are seen not to know
    Given 3 data centres of 12 daemons, losing 10 in 100 datagrams
    When nobody repeats what it has told
    And three of them see one target end each under the same request
    And 12 daemons were cut off until 3 s after that
    Then some daemons do not refuse it 2.5 s later

  Scenario: Without such requests no datagram is sent for them
    Given 1 data centres of 8 daemons, losing 0 in 100 datagrams
    When no target ends under a request
    Then nothing is sent for quarantines
