Feature: Which part of prompts is convicted of the exits of targets
  Decisions without a network. Each exit is a time, a target and the requests in flight there: name, how far its answer
  had come, and the shared parts of its prompt. 40 requests are in flight at all targets; parts that are not given a
  fraction of them are only in the requests at the exits.

  Scenario Outline: The part that explains the exits is convicted, however far the answers had come
    Given requests in flight, of which these fractions have these parts: A 1, C 0.1, D 0.1
    And these exits: <exits>
    And requests with these parts are begun and answered: <answers>
    Then the parts convicted at <at> s are <parts>

    Examples: enough exits, of enough requests
      | exits                                                                                                                          | answers | at | parts |
      | 0 t1 r1:waiting:A+B s1:writing:A+C, 0.7 t2 r2:waiting:A+B s2:writing:A+D, 1.4 t3 r3:waiting:A+B                                 | none    | 9  | none  |
      | 0 t1 r1:waiting:A+B s1:writing:A+C, 0.7 t2 r2:waiting:A+B s2:writing:A+D, 1.4 t3 r3:waiting:A+B, 2 t4 r4:waiting:A+B            | none    | 9  | B     |
      | 0 t1 r1:begun:A+B s1:writing:A+C, 0.7 t2 r2:begun:A+B s2:writing:A+D, 1.4 t3 r3:begun:A+B, 2 t4 r4:begun:A+B                    | none    | 9  | B     |
      | 0 t1 r1:first:A+B s1:writing:A+C, 0.7 t2 r2:first:A+B s2:writing:A+D, 1.4 t3 r3:first:A+B, 2 t4 r4:first:A+B                    | none    | 9  | B     |
      | 0 t1 r1:writing:A+B s1:begun:A+C, 0.7 t2 r2:writing:A+B s2:begun:A+D, 1.4 t3 r3:writing:A+B, 2 t4 r4:writing:A+B                | none    | 9  | B     |
      | 0 t1 r1:begun:A+B s1:begun:A+C, 0.7 t2 r2:waiting:A+B s2:first:A+D, 1.4 t3 r3:writing:A+B, 2 t4 r4:first:A+B                    | none    | 9  | B     |
      | 0 t1 r1:waiting:A+B, 0.7 t2 r1:waiting:A+B, 1.4 t3 r1:waiting:A+B, 2 t4 r1:waiting:A+B                                          | none    | 9  | none  |
      | 0 t1 r1:waiting:A+B, 0.7 t1 r2:waiting:A+B, 1.4 t1 r3:waiting:A+B, 2 t1 r4:waiting:A+B                                          | none    | 9  | none  |
      | 0 t1 r1:waiting:A+B, 0.7 t2 r2:waiting:A+B, 1.4 t3 r3:waiting:A+B, 3602 t4 r4:waiting:A+B                                       | none    | 3603 | none |

    Examples: whole answers that were begun after an exit
      | exits                                                                                                | answers | at | parts |
      | 0 t1 r1:waiting:A+B, 0.7 t2 r2:waiting:A+B, 1.4 t3 r3:waiting:A+B, 2 t4 r4:waiting:A+B                | 0.1 A   | 9  | B     |
      | 0 t1 r1:waiting:A+B, 0.7 t2 r2:waiting:A+B, 1.4 t3 r3:waiting:A+B, 2 t4 r4:waiting:A+B                | 0.1 B   | 9  | none  |
      | 0 t1 r1:waiting:A+B, 0.7 t2 r2:waiting:A+B, 1.4 t3 r3:waiting:A+B, 2 t4 r4:waiting:A+B                | 1.5 B   | 9  | none  |
      | 0 t1 r1:waiting:A+B, 0.7 t2 r2:waiting:A+B, 1.4 t3 r3:waiting:A+B, 2 t4 r4:waiting:A+B                | -1 B    | 9  | B     |

    Examples: a common part is convicted only if no request with it is answered
      | exits                                                                                                                          | answers | at | parts |
      | 0 t1 r1:waiting:A+E, 0.7 t2 r2:waiting:A+F, 1.4 t3 r3:waiting:A+G, 2 t4 r4:waiting:A+H                                          | -1 A    | 9  | none  |
      | 0 t1 r1:waiting:A+E, 0.7 t2 r2:waiting:A+F, 1.4 t3 r3:waiting:A+G, 2 t4 r4:waiting:A+H                                          | 1 A     | 9  | none  |
      | 0 t1 r1:waiting:A+B s1:writing:A+C, 0.7 t2 r2:waiting:A+B s2:writing:A+C, 1.4 t3 r3:waiting:A+B, 2 t4 r4:waiting:A+B            | none    | 9  | B     |

    Examples: two bad parts, and neither of the sound ones beside them
      | exits                                                                                                                          | answers | at | parts |
      | 0 t1 r1:begun:A+B s1:writing:A+C, 0.4 t2 r2:begun:A+E, 0.9 t3 r3:begun:A+B, 1.2 t4 r4:begun:A+E s4:writing:A+C, 1.7 t5 r5:begun:A+B, 2.1 t6 r6:begun:A+E, 2.6 t7 r7:begun:A+B, 3 t8 r8:begun:A+E | none | 9 | B, E |

  Scenario: What speaks for and against a part can be read from the log
    Given requests in flight, of which these fractions have these parts: A 1, C 0.1
    And these exits: 0 t1 r1:begun:A+B s1:writing:A+C, 0.7 t2 r2:begun:A+B, 1.4 t3 s2:writing:A+C
    When the evaluator logs what it knows at 3 s
    Then the line of part B says: prior 0.03, ratios t1:20.00 and t2:30.00, other exits 1
    And the line of part C says: prior 0.03, ratios t1:4.00 and t3:8.00, other exits 1

  Scenario Outline: A retry that ends a second target at once is evidence of its own
    Given requests in flight, of which these fractions have these parts: B 0.55
    And these exits: <exits>
    Then the parts convicted at 9 s are <parts>

    Examples:
      | exits                                                                                                                                                                       | parts |
      | 0 t1 r1:begun:B, 0.06 t2 r1:begun:B, 0.5 t3 r2:begun:B, 0.56 t4 r2:begun:B, 1 t5 r3:begun:B, 1.06 t6 r3:begun:B                                                              | none  |
      | 0 t1 r1:begun:B, 0.06 t2 r1:begun:B:retry, 0.5 t3 r2:begun:B, 0.56 t4 r2:begun:B:retry, 1 t5 r3:begun:B, 1.06 t6 r3:begun:B:retry                                            | B     |
      | 0 t1 r1:begun:B, 0.06 t2 r2:begun:B:retry, 0.5 t3 r3:begun:B, 0.56 t4 r4:begun:B:retry, 1 t5 r5:begun:B, 1.06 t6 r6:begun:B:retry                                            | none  |

  Scenario: The rarest of the parts that no request tells apart is convicted alone
    Given requests in flight, of which these fractions have these parts: A 1, C 0.1
    And these exits: 0 t1 r1:waiting:A+B+E, 0.7 t2 r2:waiting:A+B+E, 1.4 t3 r3:waiting:A+B+E, 2 t4 r4:waiting:A+B+E
    Then the parts convicted at 9 s are E

  Scenario: One loss of many targets convicts no part
    Given requests in flight, of which these fractions have these parts: A 0.5
    And these exits: 0 t1 r1:waiting:A, 0 t2 r2:waiting:A, 0 t3 r3:waiting:A, 0 t4 r4:waiting:B, 0 t5 r5:waiting:A
    Then the parts convicted at 3 s are none

  Scenario Outline: A sound part is hardly ever convicted
    Then of 400 series of <exits> exits <pattern>, none of them by a part, fewer than 1 in 100 convicts one

    Examples:
      | exits | pattern       |
      | 8     | at once       |
      | 8     | every 0.7 s   |
      | 8     | every 5 s     |
      | 8     | every 0.7 s, each second one under a retry and 0.06 s after the first |
      | 8     | every 5 s, each second one under a retry and 0.06 s after the first   |

  Scenario: A bad part is convicted soon, and no other
    Then a part at all exits is convicted after 5 of them in 300 series

  Scenario: Stored exits convict only together with a new one
    Given four stored exits under a part
    Then the part is not convicted 9 s after they were read
    When a target exits under a request with the part
    Then the part is convicted

  Scenario: The weighing leaves out no explanation that matters
    Then 300 random series of exits are weighed as by an oracle

  Scenario: Ten thousand exits use bounded memory
    When 10000 targets exit under requests with different parts
    Then no more than 128 exits are kept, the latest ones
