Feature: Duels without a mechanism
  Each mechanism that keeps groups whole and apart is switched off, and the oracle finds it out.

  Scenario Outline: Without a mechanism the oracle finds it out
    When duels are run with <variant> on a <site> site, from seed <first> on
    Then the oracle saw a group that was partial or an engine in two groups

    Examples:
      | variant                                         | site    | first |
      | engines planned without their lives             | mixed restarting   | 27 |
      | lives confused                                  | mixed restarting   | 35 |
      | heads opened before all members were seen ready | mixed   | 0     |
      | engines taken out of groups they have not left  | mixed   | 5     |
      | engines taken out of groups they have not left  | divided | 3     |
      | epochs used twice                               | mixed   | 103   |
      | epochs used twice                               | divided | 73    |
      | members freed by the silence of their head      | mixed   | 11    |
      | members freed by the silence of their head      | divided | 2     |
      | evidence from before a group's end              | divided | 153   |
      | groups dropped for the silence of their members | mixed overloaded | 44 |
