Feature: Engines that pause keep their groups and the requests that run there
  Runs of coordinators with emulated engines in virtual time. Daemons suspect the head of a group 0.3 s after its last
  event. A group that stands still breaks after 4 s.

  Scenario: No order ends a serving group whose engines pause
    When engines of serving groups pause, and in some of the runs another coordinator takes over meanwhile
      | kind    | model | engines      | paused_s | takeover_s |
      | mixed   | large | the head     | 2.2      |            |
      | mixed   | large | the head     | 2.8      |            |
      | mixed   | large | the head     | 3.8      |            |
      | mixed   | large | one member   | 2.8      |            |
      | mixed   | large | one member   | 3.8      |            |
      | mixed   | large | every engine | 3.8      |            |
      | divided | large | the head     | 2.2      |            |
      | divided | large | the head     | 2.8      |            |
      | divided | large | the head     | 3.8      |            |
      | divided | large | one member   | 2.8      |            |
      | divided | large | one member   | 3.8      |            |
      | divided | large | every engine | 2.8      |            |
      | divided | large | every engine | 3.8      |            |
      | divided | small | the head     | 3.8      |            |
      | divided | small | one member   | 3.8      |            |
      | divided | small | every engine | 3.8      |            |
      | mixed   | large | the head     | 2.8      | 0.2        |
      | mixed   | large | the head     | 3.8      | 1.0        |
      | mixed   | large | one member   | 3.8      | 1.0        |
      | divided | large | the head     | 3.8      | 1.0        |
      | divided | large | every engine | 3.8      | 1.0        |
      | divided | large | every engine | 3.8      | 3.0        |
    Then no order or group update has ended any of these groups, and all of them serve

  Scenario: Lost and slow connections to the host of a paused engine do not end its group
    When engines of serving groups pause, and some of the connections to their hosts fail
      | kind    | model | engines    | paused_s | connections         |
      | mixed   | large | the head   | 1.2      | 1 is lost           |
      | mixed   | large | one member | 1.2      | 1 is lost           |
      | divided | large | the head   | 1.2      | 1 is lost           |
      | divided | large | one member | 1.2      | 1 is lost           |
      | mixed   | large | the head   | 1.2      | 1 takes 0.2 s       |
      | divided | large | one member | 1.2      | 1 takes 0.2 s       |
      | mixed   | large | the head   | 1.2      | 2 is lost           |
      | divided | large | one member | 1.2      | 4 is lost           |
      | mixed   | large | the head   | 1.2      | 5 is lost           |
      | divided | large | the head   | 3.8      | every third is lost |
      | mixed   | large | one member | 3.8      | every third is lost |
    Then no order or group update has ended any of these groups, and all of them serve

  Scenario Outline: A group whose engine has ended is given up
    Given a serving group of large on a <kind> site
    When <engine> of that group ends, and its host <reaction> connections
    Then the group is formed again or given up within <seconds> s

    Examples:
      | kind    | engine     | reaction | seconds |
      | mixed   | the head   | refuses  | 0.75    |
      | mixed   | the head   | ignores  | 0.75    |
      | mixed   | one member | refuses  | 0.75    |
      | mixed   | one member | ignores  | 0.75    |
      | mixed   | the head   | accepts  | 4.75    |
      | mixed   | one member | accepts  | 4.75    |
      | divided | the head   | refuses  | 0.75    |
      | divided | the head   | ignores  | 0.75    |
      | divided | one member | refuses  | 0.75    |
      | divided | one member | ignores  | 0.75    |
      | divided | the head   | accepts  | 4.75    |
      | divided | one member | accepts  | 4.75    |

  Scenario: The head of a retired group that is whole again finishes its requests before it leaves
    Given a retired group of e1 and e2 that is open, and whose members all report
    Then at 10.0 s e1 is ordered to close the group, and nothing else is ordered
    When e1 reports at 11.0 s that it closes
    Then at 11.1 s nothing is ordered
    When e1 reports at 11.6 s that it is ready
    Then at 11.7 s e1 is ordered to leave the group, and nothing else is ordered

  Scenario: The head of a retired group that is whole again leaves once its drain time is over
    Given a retired group of e1 and e2 that is open, and whose members all report
    When e1 reports at 11.0 s that it closes
    Then at 13.4 s nothing is ordered
    And at 13.6 s e1 is ordered to leave the group, and nothing else is ordered

  Scenario: A member that is about to leave still works for the requests of its group
    Given a retired group of e1 and e2 that is open, and whose members all report
    But e2 is leaving
    Then at 10.0 s e1 is ordered to close the group, and nothing else is ordered

  Scenario Outline: The head of a retired group that lacks a member leaves at once
    Given a retired group of e1 and e2 that is open, and whose members all report
    But e2 <change>
    Then at 10.0 s e1 is ordered to leave the group, and nothing else is ordered

    Examples:
      | change                      |
      | is silent                   |
      | is not listed and is silent |
      | has restarted               |
      | has left the group          |
      | is in a later epoch         |

  Scenario: A member that has left the target list works for the requests of its group while it answers
    Given a retired group of e1 and e2 that is open, and whose members all report
    But e2 is not listed
    Then at 10.0 s e1 is ordered to close the group, and nothing else is ordered
    When e1 reports at 10.5 s that it closes
    Then at 10.6 s nothing is ordered
    And at 10.6 s a report of e2 is requested
    When e2 is silent
    Then at 10.7 s e1 is ordered to leave the group, and nothing else is ordered

  Scenario Outline: A group finishes its requests when engines of it leave the target list but go on
    Given a serving group of large on a divided site
    When the entry of <engine> of that group is removed, and it answers for another <seconds> s
    Then its head is ordered to close the group before it is ordered to leave
    And no engine has joined another group while the head of its group served

    Examples:
      | engine     | seconds |
      | one member | 6.0     |
      | the head   | 6.0     |

  Scenario: A coordinator lets a group that another one has retired finish its requests
    Given a serving group of large on a divided site
    When another coordinator has retired that group, though its engines answer
    Then its head is ordered to close the group before it is ordered to leave
    And no engine has joined another group while the head of its group served

  Scenario Outline: Random pauses that a stalled group survives end no group
    When runs with random pauses of up to 3.8 s are made with the seeds <seeds> on a <kind> site
    Then no run has a violation

    Examples:
      | kind    | seeds       |
      | mixed   | 1 2 3 4 5 6 |
      | divided | 1 2         |

  Scenario: Without patience random pauses end groups
    When runs with random pauses of up to 3.8 s are made with the seeds 1 2 3 on a mixed site, without patience
    Then each run has a violation

  Scenario Outline: After longer pauses no group runs incomplete, and no engine serves two groups
    When runs with random pauses of up to 9.0 s are made with the seeds <seeds> on a <kind> site
    Then no run has a violation

    Examples:
      | kind    | seeds       |
      | mixed   | 1 2 3 4 5 6 |
      | divided | 1 2         |
