Feature: Complete groups, one group per VM, and no new work on a leaving VM
  Controllers, engines and a gateway run in virtual time against the stand-in's table and
  engines. Random faults: VMs die, pause, restart, leave or are removed; controllers are
  paused, crash or lose the table; replies are lost; orders are delayed. An oracle checks
  the state of the engines and of the table directly.

  Scenario: Random faults under load violate no invariant of groups
    When 24 random group runs are made from seed 0
    Then no request was served without all members of its group
    And no VM belonged to two groups
    And no leaving VM got new work after 6 seconds
    And every answer was complete and belonged to its request
    And every site served all possible groups again

  Scenario Outline: The oracle detects a disabled mechanism
    When group runs are made with <variant> at seeds <seeds>
    Then a violation was found

    Examples:
      | variant                               | seeds    |
      | unconditional writes                  | 49, 82   |
      | grants that never expire              | 0, 1     |
      | departures from the shard holder only | 110, 141 |

  Scenario Outline: An answer of a group that lost a member before the send is discarded
    Given an in-process site in virtual time with 4 groups granted
    When the gateway is paused between grant check and send while a member dies, <check>
    Then the group's answer is <result>

    Examples:
      | check                          | result    |
      | with a check after the send    | discarded |
      | without a check after the send | used      |
