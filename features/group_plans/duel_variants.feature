Feature: Competing coordinators with a disabled mechanism
  Each mechanism that keeps groups complete and disjoint is disabled, and the oracle must detect it.

  Scenario Outline: The oracle detects a disabled mechanism
    When competing coordinators run with <variant> on a <site> site, from seed <first> on
    Then the oracle found a partial group or an engine in two groups

    Examples:
      | variant                                         | site             | first |
      | engines planned without their incarnations      | mixed restarting | 27    |
      | incarnations not distinguished                  | mixed restarting | 35    |
      | heads opened before all members reported ready  | mixed            | 0     |
      | engines reassigned before they left their group | mixed            | 5     |
      | engines reassigned before they left their group | divided          | 3     |
      | epochs reused                                   | mixed            | 103   |
      | epochs reused                                   | divided          | 73    |
      | members freed while their head is silent        | mixed            | 11    |
      | members freed while their head is silent        | divided          | 2     |
      | reports from before a group's end accepted      | divided          | 153   |
      | groups deleted while all members are silent     | mixed overloaded | 44    |
