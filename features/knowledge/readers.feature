Feature: Targets that leave are known in time, whoever reads the store
  In simulated time, with real replicas and links. A target must get no request 2.0 s after the store has
  acknowledged that it leaves, or 3.0 s after the store's return if that is later. What happens falls into any part
  of the interval in which daemons read.

  Scenario Outline: A daemon that the store turned away long ago drops a removed target in time
    Given <data_centres> data centres of <daemons> daemons that read the store
    When the store turns two of a data centre away for <seconds> s, and later the others are killed as a target leaves
    Then the first of the two has dropped it within 2.0 s, whenever that happens

    Examples:
      | data_centres | daemons | seconds |
      | 3            | 3       | 4.0     |
      | 3            | 3       | 1.6     |
      | 1            | 3       | 4.0     |

  Scenario Outline: A successor that cannot read the store delays nobody
    Given 3 data centres of <daemons> daemons that read the store
    When <cut> standbys are cut off from the store, the reader <ends>, and a target <leaves>
    Then all others know it within 2.0 s, whenever that happens

    Examples:
      | daemons | cut | ends      | leaves           |
      | 4       | 1   | stops     | reports draining |
      | 4       | 1   | stops     | is taken out     |
      | 4       | 1   | is killed | reports draining |
      | 4       | 1   | is killed | is taken out     |
      | 4       | 2   | stops     | reports draining |
      | 4       | 2   | is killed | is taken out     |
      | 12      | 2   | is killed | reports draining |

  Scenario Outline: A target that left just before an outage is dropped once daemons are in touch again
    Given 3 data centres of <daemons> daemons that read the store
    When the store is silent for <seconds> s just after a target is taken out
    Then all have dropped it within 3.0 s of its return, whenever that happens

    Examples:
      | daemons | seconds |
      | 3       | 3.0     |
      | 3       | 6.0     |
      | 12      | 3.0     |

  Scenario Outline: Targets whose entries lapse in an outage and return stay in use
    Given 3 data centres of <daemons> daemons that read the store
    When the store is silent for <seconds> s, and an entry that lapses meanwhile returns 1.8 s later
    Then no daemon ever drops its target, whenever that happens

    Examples:
      | daemons | seconds |
      | 3       | 3.0     |
      | 3       | 6.0     |
      | 3       | 9.0     |
      | 4       | 2.0     |
      | 12      | 3.0     |

  Scenario: A push is applied although other tables of the store have changed since the last one
    Given 3 data centres of 3 daemons that read the store
    When another table changes 3 s before a target reports draining
    Then all daemons know it within 0.6 s, whenever that happens

  Scenario: A data centre reads the store with one daemon in calm
    Given 3 data centres of 4 daemons that read the store
    When nothing happens for 8 s
    Then the store gets at most 6 calls a second

  Scenario: Targets that leave at any moment are known in time, whatever else happens
    Outages, partitions, kills and planned stops overlap; what is late is counted as the store has acknowledged it.
    When daemons are cut off, stopped and killed at random, seeds 1 to 25
    Then no daemon used a target too late, or dropped one that had only lapsed

  Scenario Outline: The check fails if <what>
    When <what> as daemons are cut off, stopped and killed at random, seeds 1 to 10
    Then some daemon used a target too late, or dropped one that had only lapsed

    Examples:
      | what                                   |
      | missing entries are kept for 4.0 s     |
      | missing entries are kept for 0.5 s     |
      | reads of a silent store hardly overlap |
