Feature: What daemons tell each other fits the links of a large site
  In fake time, without a network: 195 daemons in five data centres, 930 targets. The smallest VMs have
  links of 20 Mbit/s, 2.5 MB/s, which callers' requests use too.

  Scenario: No daemon sends more than an eighth of a small VM's link
    Before, each data centre's two reporters sent whole digests four times a second, and one daemon
    handed all of them on: 1.88 MB/s. Now 0.23 MB/s.
    When 5 data centres of 39 daemons talk for 8 s
    Then no daemon sends more than 310 KB/s
    And 8 in 10 send no more than 6 KB/s

  Scenario: All know all, also where one datagram in fifty is lost
    When 3 data centres of 12 daemons talk for 8 s, losing 2 in 100 datagrams
    Then each daemon would send callers to every other one

  Scenario: Every daemon knows what all others have in flight, half a second late at most
    Heartbeats of each to each come every 1.2 s in a data centre of 39, by when most requests have ended.
    When one daemon of 2 data centres of 39 gets 50 requests in flight at a target
    Then all daemons of its data centre know within 0.5 s, and all others within 1.1 s

  Scenario: A daemon that is gone is off the list for callers within 1.5 s, everywhere
    It took over 3 s in its own data centre before.
    When 6 daemons of 2 data centres of 39 go silent
    Then no daemon sends callers to them 1.5 s later, and all send callers to all others

  Scenario: A daemon that has missed the list of members goes by heartbeats
    Given a daemon that has heard others' heartbeats and a digest without members
    Then it sends callers to those that it has heard

  Scenario: The second reporter speaks once the first is late
    Given two reporters r1 and r2 of a large data centre, registered in this order
    When both have just been heard
    Then r1 speaks for the data centre in the view of both
    When r1 has been silent for 0.7 s
    Then r2 speaks for the data centre in the view of r2

  Scenario: After all daemons have lost power, roles are taken once
    Their registrations follow each other in the store, for 0.8 s. Taking a role 1.1 s after the start, 45
    daemons of the large site took one at the same moment.
    When 195 daemons of 5 data centres start within 1 s, losing 30 in 100 datagrams
    Then no data centre ever has more than 3 reporters, and 2 from 3 s on
    And at most 1 daemons keep the groups of one data centre, and 1 from 3 s on

  Scenario: One daemon of each data centre reads the store, and is followed within a second
    Two did before, each with four calls a second.
    When 3 data centres of 12 daemons start, and those that read the store go silent after 4 s
    Then one daemon of each data centre reads the store after 4 s, and after 5 s another one

  Scenario: A data centre's groups are kept by its own reporter, or by the first of all
    When 3 data centres of 12 daemons start, and one data centre goes silent after 4 s
    Then each data centre's groups are kept by one of its own daemons after 4 s
    And those of the silent one by one daemon elsewhere 1.5 s later

  Scenario: Roles that are taken before the others are heard are found out
    When they start, losing 60 in 100, and take roles once registered
    Then some data centre has more than 3 reporters

  Scenario: The whole list is packed
    Given the list of a site of 930 targets
    Then a peer reads it in less than 60 KB, and a second one gets the same bytes

  Scenario: Packed bytes that are cut short or damaged are refused
    Then bytes that are cut short or are no packed ones raise the typed error

  Scenario Outline: Who missed changes reads only those, and knows what the others know
    Given a list that changes at random, seed <seed>, and a reader that misses pushes
    Then the reader never differs at the same version, and reads one whole list at most

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |

  Scenario: Changes of a whole site are pushed in datagrams that fit
    Given changes of 930 entries at versions of their own
    Then they are pushed in parts that follow on each other, of 16 KB at most
    And a reader that misses the third part stands at the version of the second

  Scenario: Reads after a lost push are spread over all peers that have it
    Given 38 daemons that all missed the same push, and 8 that did not
    Then no peer is read first by more than 14 of them

  Scenario: Reads that fail are not repeated at once
    Given a daemon whose reads of peers fail
    Then it pauses longer and longer, up to 0.8 s, and goes on at once after a success
