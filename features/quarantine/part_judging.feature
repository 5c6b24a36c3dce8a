Feature: Which part of prompts is convicted of crashes
  Decisions without a network. Each crash is the time, the request, the target and the shared parts of its prompt, in order.

  Scenario Outline: The part that explains the crashes is convicted, and no sound one
    Given these crashes: <crashes>
    And requests with these parts are sent and answered: <answers>
    Then the parts convicted at <at> s are <parts>

    Examples: enough crashes
      | crashes                                                  | answers        | at  | parts |
      | 0 r1 t1 A B, 0.3 r1 t2 A B, 1 r2 t3 A B                   | none           | 9.0 | none  |
      | 0 r1 t1 A B, 0.3 r1 t2 A B, 1 r2 t3 A B, 1.2 r2 t4 A B    | none           | 1.3 | B     |
      | 0 r1 t1 A B, 0.3 r1 t2 A B, 1 r1 t3 A B, 1.2 r1 t4 A B    | none           | 9.0 | none  |
      | 0 r1 t1 A B, 0.3 r2 t1 A B, 1 r3 t1 A B, 1.2 r4 t1 A B    | none           | 9.0 | none  |
      | 0 r1 t1 A B, 0.3 r1 t2 A B, 1 r2 t3 A B, 3601 r2 t4 A B   | none           | 3602 | none |

    Examples: answers after the crashes
      | crashes                                                  | answers          | at  | parts |
      | 0 r1 t1 A B, 0.3 r1 t2 A B, 1 r2 t3 A B, 1.2 r2 t4 A B    | 0.1 A            | 1.3 | B     |
      | 0 r1 t1 A B, 0.3 r1 t2 A B, 1 r2 t3 A B, 1.2 r2 t4 A B    | 0.1 B            | 1.3 | A     |
      | 0 r1 t1 A B, 0.3 r1 t2 A B, 1 r2 t3 A B, 1.2 r2 t4 A B    | 1.1 A, 0.1 B     | 9.0 | none  |
      | 0 r1 t1 A B, 0.3 r2 t2 A C, 1 r3 t3 A D, 1.2 r4 t4 A E    | none             | 1.3 | A     |
      | 0 r1 t1 A B, 0.3 r2 t2 A C, 1 r3 t3 A D, 1.2 r4 t4 A E    | 1.1 A            | 9.0 | none  |

    Examples: answers before the crashes tell which part to suspect
      | crashes                                                  | answers          | at  | parts |
      | 0 r1 t1 A B, 0.3 r1 t2 A B, 1 r2 t3 A B, 1.2 r2 t4 A B    | -1 B             | 1.3 | A     |
      | 0 r1 t1 A B, 0.3 r1 t2 A B, 1 r2 t3 A B, 1.2 r2 t4 A B    | -1 A, -1 B       | 1.3 | none  |
      | 0 r1 t1 A B, 0.3 r1 t2 A B, 1 r2 t3 A B, 1.2 r2 t4 A B    | -1 A, -1 B       | 2.1 | B     |
      | 0 r1 t1 A, 0.3 r1 t2 A, 1 r2 t3 A, 1.2 r2 t4 A            | -1 A             | 2.1 | A     |

    Examples: three crashes of each of two bad parts do not convict the sound one before them, but of three parts they do
      | crashes                                                                                                                            | answers | at  | parts |
      | 0 r1 t1 A B, 0 r2 t2 A C, 0.3 r1 t3 A B, 0.3 r2 t4 A C, 1 r3 t5 A B, 1 r4 t6 A C                                                    | -1 A    | 9.0 | none  |
      | 0 r1 t1 A B, 0 r2 t2 A C, 0.3 r1 t3 A B, 0.3 r2 t4 A C, 1 r3 t5 A B, 1 r4 t6 A C                                                    | none    | 9.0 | none  |
      | 0 r1 t1 A B, 0 r2 t2 A C, 0 r5 t7 A D, 1 r3 t5 A B, 1 r4 t6 A C, 1 r6 t8 A D                                                        | -1 A    | 9.0 | A     |
      | 0 r1 t1 A B, 0 r2 t2 A C, 0.3 r1 t3 A B, 0.3 r2 t4 A C, 1 r1 t5 A B, 1 r2 t6 A C                                                    | -1 A    | 9.0 | A     |

    Examples: a first part that turned bad, of which a part behind it explains many crashes but not all
      | crashes                                                                                                                            | answers    | at  | parts |
      | 0 r1 t1 A B, 0 r2 t2 A B, 0 r3 t3 A D, 0.1 r4 t4 A C, 0.3 r1 t5 A B, 0.3 r2 t6 A B, 1 r4 t7 A C, 1 r2 t8 A B                        | -1 A, -1 B | 9.0 | A     |
      | 0 r1 t1 A B, 0 r2 t2 A B, 0.6 r1 t5 A B, 0.6 r2 t6 A B, 1 r4 t7 A C                                                                 | -1 A, -1 B | 9.0 | B     |

    Examples: two bad parts behind one first part
      | crashes                                                                                                                            | answers | at  | parts |
      | 0 r1 t1 A B, 0 r2 t2 A C, 0.3 r1 t3 A B, 0.3 r2 t4 A C, 1 r3 t5 A B, 1 r4 t6 A C, 1.2 r3 t7 A B, 1.2 r4 t8 A C                      | -1 A    | 2.1 | B, C  |

  Scenario Outline: One loss of many targets convicts no part
    Given these crashes: 0 r1 t1 A, 0 r2 t2 A, 0 r3 t3 A, 0 r4 t4 A
    And requests with these parts are sent and answered: <answers>
    And the daemon itself has seen these targets exit: <exits>
    Then the parts convicted at 3 s are <parts>

    Examples:
      | answers | exits              | parts |
      | none    | none               | none  |
      | none    | t1, t2             | none  |
      | none    | t1, t2, t3         | A     |
      | none    | t1, t2, t3, t9     | none  |
      | 0.5 Z   | none               | A     |
      | -0.5 Z  | none               | none  |

  Scenario: Stored crashes convict only together with a new one, and after sound requests had time to clear the part
    Given four stored crashes of a part
    Then the part is not convicted 9 s after they were read
    When a target crashes under a request with the part
    Then the part is convicted, but not within 1 s of the reading of the store

  Scenario: Ten thousand crashes use bounded memory
    When 10000 targets crash under requests with different parts
    Then no more than 1024 crashes are kept, the latest ones
