Feature: An answer that its target cuts never reaches the caller as whole
  Two daemons as processes, and a target that stops at each byte of its answer and closes or resets the connection:
  answers with a length, in chunks, and with neither, which end with their connection.

  Scenario Outline: Each byte of an answer at which a target may stop
    Given two daemons and a target that stops at a byte of its answer
    When callers ask for <kind>, which it stops at each byte, and closes or resets
    Then no caller takes a part of an answer for a whole one
    And whole answers arrive as they were sent
    And no caller is told that a request has not run which may have

    Examples:
      | kind                              |
      | streams                           |
      | streams that may not be resumed   |
      | idempotent answers                |
      | other answers                     |
      | answers to HEAD                   |
      | answers without content           |
      | answers after an interim response |
      | second answers on a connection    |

  # The connection of an engine that exits is closed like that of an answer which ends with it.
  Scenario Outline: An answer that ends with its connection is not whole if its target exits
    Given two daemons and a target that stops at a byte of its answer
    When callers ask for <kind> that end with their connection as the target exits
    Then no caller takes a part of an answer for a whole one
    And no caller is told that a request has not run which may have

    Examples:
      | kind                              |
      | streams                           |
      | streams that may not be resumed   |
      | idempotent answers                |
      | other answers                     |

  Scenario Outline: A reply to a <call> that is cut at any byte is none
    When the reply to a <call> is cut at each byte, by a close or a reset
    Then the client takes no part of a reply for a whole one

    Examples:
      | call         |
      | store read   |
      | report       |
      | service call |
