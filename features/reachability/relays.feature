Feature: Daemons without links find others that relay, at any size and with little asking

  Scenario Outline: Requests of daemons without links find a daemon that relays
    Given <daemons> daemons in <data_centres> data centres, without links: <lost>
    When each of those relays 15 requests per s for 5 s
    Then at least 0.98 of the requests are relayed, and <asked> daemons at most are asked for one on average
    And no daemon relays more than twice the mean of those with links and the requests of one daemon

    Examples:
      | daemons | data_centres | lost                    | asked |
      | 8       | 3            | one daemon              | 1.0   |
      | 8       | 3            | one data centre         | 1.3   |
      | 8       | 3            | five of eight           | 1.5   |
      | 64      | 3            | one data centre         | 1.3   |
      | 64      | 3            | five of eight           | 1.5   |
      | 195     | 5            | one data centre         | 1.3   |
      | 410     | 15           | one data centre         | 1.3   |
      | 410     | 15           | five of eight           | 1.5   |

  Scenario: Requests stay in the data centre while daemons of it relay
    Given 64 daemons in 4 data centres, without links: one daemon
    When each of those relays 15 requests per s for 5 s
    Then all are relayed in the data centre

  Scenario: Without any daemon that relays, requests are tried over the own links
    Given 8 daemons in 3 data centres, without links: all
    When each of those relays 15 requests per s for 5 s
    Then none is relayed, and 8 daemons at most are asked for one
