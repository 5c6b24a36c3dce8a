Feature: Answers of targets that misbehave on the wire
  Each case is a real connection to a target that sends exactly these bytes.

  Scenario Outline: What a target sends is what the caller gets, or a typed error
    Given a target that sends <bytes>
    When request a1 is sent to it
    Then the outcome is <outcome>
    And the connection is <kept>

    Examples:
      | bytes                              | outcome            | kept     |
      | a whole answer                     | 200 hello          | kept     |
      | a whole answer in chunks           | 200 hello          | kept     |
      | an answer that ends the connection | 200 hello          | not kept |
      | an answer that ends with a reset   | IncompleteResponse | not kept |
      | an answer cut short                | IncompleteResponse | not kept |
      | chunks cut short                   | IncompleteResponse | not kept |
      | an answer twice                    | 200 hello          | not kept |
      | an answer to another request first | 200 hello          | not kept |
      | only an answer to another request  | TargetUnreachable  | not kept |
      | bytes that are no answer           | MalformedResponse  | not kept |
      | nothing but a close                | TargetUnreachable  | not kept |
      | an answer that says close          | 200 hello          | not kept |

  Scenario: A late second answer spoils a kept connection
    Given a target that sends a whole answer
    When request a1 is sent to it
    And the target sends more bytes
    Then the connection is not kept

  Scenario: A connection is not used when the target may be about to close it
    Given a target that sends a whole answer and keeps connections for 2 s
    When request a1 is sent to it
    Then the pool uses the connection again after 1.0 s and not after 1.5 s

  Scenario: No bytes leave if nobody listens
    Given no target listens
    When request a1 is sent to it
    Then it is known that nothing was sent
