Feature: How long requests with a suspected part of prompts are held

  Scenario Outline: A hold ends by time only if a target has survived a request with the part since the last exit
    Given a part that is held from exits at <exits> s on
    When targets survive requests with it that they begin to answer at <survived> s
    Then it is held until <until> s

    Examples: no request has run since
      | exits  | survived | until |
      | 0      | none     | 3600  |
      | 0, 5   | none     | 3605  |
      | 0, 5   | 3        | 3605  |
      | 5      | 5        | 3605  |
      | 0, 5   | 3, 4.9   | 3605  |

    Examples: a target has survived one
      | exits  | survived | until |
      | 0      | 1        | 10    |
      | 0, 5   | 6        | 15    |
      | 0, 5   | 3, 6     | 15    |
      | 0      | 40       | 40    |

  Scenario Outline: A part that other daemons may have released does not count as held
    Given a part that is held from exits at <exits> s on
    Then at <at> s it counts as held since <since> s

    Examples:
      | exits    | at | since |
      | 0        | 5  | 0     |
      | 0        | 12 | none  |
      | 0, 5     | 12 | 0     |
      | 0, 12    | 13 | 12    |
      | 0, 5, 12 | 13 | 0     |

  Scenario Outline: Whether a target has survived a request with a held part
    Given a daemon that holds a part, whose targets exited under it 12 s ago
    When a request with the held part <course>
    Then a second later the part is <state>

    Examples:
      | course                                   | state    |
      | does not come                            | held     |
      | waits for a target                       | held     |
      | is sent and gets no answer for 3 s       | held     |
      | is answered for 0.5 s, and cancelled     | held     |
      | is answered for 1 s, and its target ends | held     |
      | is answered for 3 s, and cancelled       | released |
      | is answered whole within 0.5 s           | released |

  Scenario: All targets are lost at once and come back after the time of a hold
    When a random run with parts that crash targets in different ways has seed 89
    Then the bound holds, and no other request is quarantined
