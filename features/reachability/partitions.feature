Feature: Daemons without links to the targets serve their callers
  Guards against daemons that refused all callers as long as their own links to the targets were cut, although
  the other daemons reached every target.

  Scenario: Callers of daemons that are partitioned from all targets are served almost as often as others
    Given a platform with eight daemons in three data centres, whose groups serve
    When links to all targets are cut for 8 s each time, under a steady load
      | daemons            | links                              |
      | a1                 | are reset                          |
      | a1, a2, a4, a5, a7 | are reset                          |
      | a1, a2, a3         | hang                               |
      | a1, a2, a4, a5, a7 | hang                               |
      | a1, a2, a4, a5, a7 | live on while new ones are refused |
    Then from 3 s after the start of each partition first attempts at these daemons are served at least 0.67 times as often as at the others
    And no booking is executed twice

  Scenario: Targets that fall silent for a second and go on are no reason to relay
    Given a platform with eight daemons in three data centres, whose groups serve
    When a third of the targets fall silent for 1 s three times, under a steady load
    Then all daemons know that they reach targets, and relay nothing
    And no booking is executed twice
