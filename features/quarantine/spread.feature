Feature: Crash reports and verdicts of one daemon reach all daemons in time
  Runs over the daemons' own links in virtual time; times count from the third crash. Each crash is seen by another
  daemon, and crash reports and verdicts are datagrams that may be lost. The required limit is 3 s.

  Scenario Outline: Crashes that three daemons see make all daemons refuse the request
    `measurements/quarantine_spread.py` simulates 195 and 405 daemons, which takes minutes.
    Given <data centres> data centres of <daemons> daemons with <loss> % datagram loss
    When three of them each see one target crash under the same request
    Then all daemons refuse it 2.5 s later
    And from then on no daemon sends more than <bytes> bytes per second for it

    Examples:
      | data centres | daemons | loss | bytes |
      | 1            | 8       | 2    | 1000  |
      | 1            | 8       | 30   | 1000  |
      | 3            | 12      | 10   | 2000  |

  Scenario Outline: Crashes of a part that four daemons see make all daemons refuse it, and not the parts beside it
    Given <data centres> data centres of <daemons> daemons with <loss> % datagram loss
    When four of them each see one target crash under another request with one part
    Then all daemons refuse it 2.5 s later
    And none refuses requests with the other part of these, which all daemons answer
    And from then on no daemon sends more than <bytes> bytes per second for it

    Examples: each daemon is told directly
      | data centres | daemons | loss | bytes |
      | 1            | 8       | 2    | 2000  |
      | 1            | 8       | 30   | 2000  |
      | 3            | 12      | 10   | 2000  |

    Examples: reporters relay to the daemons of their data centres
      | data centres | daemons | loss | bytes |
      | 4            | 18      | 10   | 2000  |

  Scenario: Only messages on quarantines are relayed, and not twice
    Given 4 data centres of 18 daemons with 0 % datagram loss
    When a reporter is to relay a verdict, a heartbeat, and another verdict that is to be relayed again
    Then all daemons of its data centre have the first verdict only, and the others have none

  Scenario: A daemon that was isolated or has just started learns of a verdict within 2.5 s
    Given 3 data centres of 12 daemons with 10 % datagram loss
    When three of them each see one target crash under the same request
    And 12 daemons are isolated until 3 s after that
    Then all daemons refuse it 2.5 s later

  Scenario: Without repetition isolated daemons do not learn of a verdict
    Given 3 data centres of 12 daemons with 10 % datagram loss
    When no daemon repeats its verdicts
    And three of them each see one target crash under the same request
    And 12 daemons are isolated until 3 s after that
    Then some daemons do not refuse it 2.5 s later

  Scenario: Without crashes no datagram is sent for quarantines
    Given 1 data centres of 8 daemons with 0 % datagram loss
    When no target crashes under a request
    Then no daemon sends anything for quarantines
