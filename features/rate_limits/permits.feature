Feature: One daemon issues the permits of a rate-limited target
  Splitting a limit over all daemons does not work for small limits: a share that allows one request at each of 410
  daemons exceeds a limit of 0.5 requests per s many times.

  Scenario Outline: Permits never exceed what the limit tolerates, whatever the demand
    Given an issuer for a target with a limit of <limit> per s
    When <daemons> daemons ask for permits in bursts and pauses for 120 s
    Then no 4 s have more permits than 1.25 times the limit and 2

    Examples:
      | limit | daemons |
      | 0.2   | 410     |
      | 1     | 8       |
      | 7.3   | 64      |
      | 50    | 410     |

  Scenario Outline: Daemons that wait as asked get most of what the limit allows
    Given an issuer for a target with a limit of <limit> per s
    When <daemons> daemons always have a request for it and wait as asked for 120 s
    Then at least 0.7 of the limit is used
    And after the first <daemons> at most <asked> permit requests per s were made

    Examples:
      | limit | daemons | asked |
      | 0.2   | 8       | 1     |
      | 0.5   | 410     | 8     |
      | 2     | 1       | 6     |
      | 5     | 64      | 15    |
      | 50    | 195     | 150   |

  Scenario: Daemons agree on the issuers, and a change of the daemons moves few targets
    Given 40 daemons in 4 data centres
    Then each issuer is in the data centre of its target
    And no daemon issues permits for more than 3 times the average of 400 targets
    When one daemon disappears
    Then only its targets have another issuer

  Scenario: Targets of a data centre without daemons have issuers elsewhere
    Given 40 daemons in 4 data centres
    Then a target of a fifth data centre has an issuer
    And without daemons it has none
