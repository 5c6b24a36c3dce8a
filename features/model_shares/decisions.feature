Feature: Shares of the engines follow the observed work
  Pure decisions. Models of 8 and 2 engines have declared halves of 9 domains of 18 engines:
  10 groups of large, 36 of small, 10 slots each.

  Scenario: The groups of one model stand empty while the other runs out in waves and bursts
    When 20 requests of large and 230 of small are in flight for 40 s, in waves of 0.55 with a period of 15 s
    And small is 1.7 times as frequent from 32 s to 35 s
    Then requests of small that find no slot are at most 0.02 of all, with declared shares at least 0.05
    And no request of large finds no slot
    And shares change at most 2 times

  Scenario: A kind becomes lastingly more frequent
    When 40 requests of large and 140 of small are in flight for 40 s
    And small is 2.6 times as frequent from 10 s to 40 s
    Then the first change of shares comes 4 to 8 s after 10 s
    And small has at least 50 groups at the end
    And shares change at most 2 times

  Scenario: A burst of 4 s moves nothing
    When 40 requests of large and 140 of small are in flight for 40 s
    And small is 2.6 times as frequent from 12 s to 16 s
    Then shares change at most 0 times

  Scenario: Waves move no groups to and fro
    When 30 requests of large and 180 of small are in flight for 120 s, in waves of 0.55 with a period of 15 s
    Then shares change at most 2 times
    And no model loses groups that it has gained

  Scenario: A model without work keeps half of its declared groups
    When 0 requests of large and 300 of small are in flight for 40 s
    Then large has 5 groups at the end

  Scenario: The other model without work keeps half of its declared groups
    When 95 requests of large and 0 of small are in flight for 40 s
    Then small has at least 19 groups at the end

  Scenario: No traffic leaves the declared shares
    When 0 requests of large and 0 of small are in flight for 40 s
    Then shares change at most 0 times

  Scenario: Little work moves nothing, however uneven it is
    When 2 requests of large and 100 of small are in flight for 40 s
    Then shares change at most 0 times

  Scenario: A dark domain moves no groups to and fro
    When 20 requests of large and 200 of small are in flight for 60 s
    And domain s0 is dark from 20 s to 27 s
    Then shares change at most 2 times
    And no model loses groups that it has gained
    And large has 5 groups at the end

  Scenario Outline: Counts that make no sense are no work
    When a coordinator sees <count> requests of small in flight for 20 s
    Then it decides nothing

    Examples:
      | count |
      | -50   |
      | 0     |

  Scenario: A model without groups says nothing about its demand
    When a coordinator sees no group of small for 20 s
    Then it decides nothing
