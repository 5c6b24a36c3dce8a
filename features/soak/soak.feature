Feature: A soak of the real programs under random faults
  Daemons run as separate processes behind loopback proxies; faults come in series and
  overlap. `scripts/soak FIRST LAST` runs more seeds.

  Scenario: A short run with fixed seeds keeps every promise
    When the soak runs seeds 1 to 2 with 6 s of faults each
    Then no promise was broken

  Scenario: Engines start again under their ids and entries are spoiled
    When the soak runs seeds 1001 to 1002 with 6 s of faults each
    Then no promise was broken

  Scenario: Requests end the targets that run them
    When the soak runs seeds 2001 to 2001 with 6 s of faults each
    Then no promise was broken

  Scenario Outline: A broken promise is noticed
    Given a soak's history in which <what happened>
    Then the checks say "<finding>"

    Examples:
      | what happened                                          | finding                         |
      | a stream lacks an event                                | wrong answer                    |
      | a booking ran twice                                    | ran 2 times                     |
      | a booking that was told not run had run                | told not run, but it ran        |
      | a booking succeeded without a run                      | success without a run           |
      | a planned stop cut a stream                            | cut off by planned work         |
      | a key is served 4 s after it was taken away            | served by a key taken away      |
      | a new key is refused 4 s after it came                 | refused a key in force          |
      | a daemon takes an old key after a newer one            | went back to an older           |
      | a target gets a request 4 s after it began to leave    | sent to a target that left      |
      | a process ended by itself                              | process ended by itself         |
      | a request reaches 4 targets 4 s after it ended three   | 4 later arrivals                |

  Scenario Outline: What faults explain is no finding
    Given a soak's history in which <what happened>
    Then the checks say nothing

    Examples:
      | what happened                                          |
      | a killed daemon cut a stream                           |
      | a key is served 4 s after it was taken away, without the store |
      | a target gets a request 1 s after it began to leave    |
      | a request reaches 3 targets 4 s after it ended three   |
