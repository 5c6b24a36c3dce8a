Feature: Two coordinators duel over the same engines
  Random runs in fake time over the real decisions and the real coordinator. Either of two
  coordinators may believe that it is the only one and may stand still for up to 15 s at any
  call; orders are lost, carried out without an answer, or carried out 2 to 12 s late; engines
  go dark, come back as they were, start anew or are lost.

  Scenario: No group runs a request unless whole, and no engine is in two groups
    When 40 duels are run from seed 0
    Then the oracle saw no partial group and no engine in two groups
    And groups served in every duel

  Scenario Outline: Without a mechanism the oracle finds it out
    When duels are run with <variant> at seeds <seeds>
    Then the oracle saw a group that was partial or an engine in two groups

    Examples:
      | variant                                         | seeds   |
      | heads opened before all members were seen ready | 37,38   |
      | engines taken out of groups they have not left  | 3,21,48 |
      | epochs used twice                               | 4,51,89 |
      | members freed by the silence of their head      | 5,25,27 |
