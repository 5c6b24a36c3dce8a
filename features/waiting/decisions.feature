Feature: Marks, shares and times to come back follow from what is known

  Scenario Outline: What is held back follows the demand of more urgent requests
    Given 100 slots, and requests of priorities 0, 1 and 2 that need <needs> of them
    Then their marks are <marks>

    Examples: Nothing is held back while all fits, or if the more urgent do not come
      | needs      | marks          |
      | 30, 30, 30 | 1.2, 1.2, 1.2  |
      | 0, 0, 300  | 1.2, 1.2, 1.2  |
      | 10, 0, 300 | 1.2, 1.1, 1.1  |
      | 50, 50, 10 | 1.2, 1.1, 1.1  |
      | 50, 50, 50 | 1.2, 0.95, 0.95 |

  Scenario Outline: A refused caller comes back at its turn if it can be served then
    Given 200 callers with <left> s left whose turn is expected in <turn> s
    Then they are told between <low> and <high> s, at different times, as <kind>

    Examples:
      | left | turn | low  | high | kind        |
      | 6    | 1.0  | 0.75 | 1.25 | a promise   |
      | 6    | 1.7  | 1.27 | 1.8  | a promise   |
      | 6    | 4.0  | 3.0  | 5.0  | no promise  |
      | 6    | 1.9  | 2.0  | 2.4  | no promise  |

  Scenario: Of the room that counts show, each daemon takes its part
    Given 64 daemons that see the same group with 20 of 40 slots taken, for 1.5 s
    Then together they fill at most its slots

  Scenario: Slots freed by own requests are filled again although counts are old
    Given a daemon that sees a group with all slots taken
    When one of its own requests ends there
    Then it may fill one slot there and not two

  Scenario: Nothing is refused for want of knowledge
    Given a daemon that has just started and sees all groups full
    When 50 requests of each priority arrive
    Then none of them has an expected wait
