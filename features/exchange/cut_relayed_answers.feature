Feature: A relayed answer that its target cuts never reaches the caller as whole
  A daemon without links to the target relays through two others; the target stops at each byte of its answer and closes
  or resets the connection, or exits.

  Scenario Outline: No relay passes on a part of an answer as a whole one
    Given daemons, the asked one of which relays, and a target that stops at a byte
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

  Scenario: A relay is not blamed for an answer that its target cuts
    Given daemons, the asked one of which relays, and a target that stops at a byte
    When 8 streams that may not be resumed are cut after their first events, one after the other
    Then each has arrived at once

  Scenario Outline: No relay passes on the end of a target that exits as that of its answer
    Given daemons, the asked one of which relays, and a target that stops at a byte
    When callers ask for <kind> that end with their connection as the target exits
    Then no caller takes a part of an answer for a whole one
    And no caller is told that a request has not run which may have

    Examples:
      | kind               |
      | streams            |
      | idempotent answers |
