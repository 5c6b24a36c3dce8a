Feature: Responses of targets that violate the protocol
  Each case is a real connection to a target that sends exactly these bytes.

  Scenario Outline: The caller gets the response to its own request, or a typed error
    Given a target that sends <bytes>
    When request a1 is sent to it
    Then the outcome is <outcome>
    And the connection is <kept>

    Examples:
      | bytes                                    | outcome            | kept     |
      | a complete response                      | 200 hello          | kept     |
      | a complete response in chunks            | 200 hello          | kept     |
      | a response delimited by the close        | 200 hello          | not kept |
      | a response cut by a reset                | IncompleteResponse | not kept |
      | a truncated response                     | IncompleteResponse | not kept |
      | truncated chunks                         | IncompleteResponse | not kept |
      | a response twice                         | 200 hello          | not kept |
      | a response to another request first      | 200 hello          | not kept |
      | only a response to another request       | TargetUnreachable  | not kept |
      | bytes that are no response               | MalformedResponse  | not kept |
      | nothing but a close                      | TargetUnreachable  | not kept |
      | a response that announces a close        | 200 hello          | not kept |

  Scenario: A connection with stray data after the response is not reused
    Given a target that sends a complete response
    When request a1 is sent to it
    And the target sends more bytes
    Then the connection is not kept

  Scenario: A connection is not reused when the target may be about to close it
    Given a target that sends a complete response and keeps connections for 2 s
    When request a1 is sent to it
    Then the pool reuses the connection after 1.0 s and not after 1.5 s

  Scenario: A refused connection proves that no bytes were sent
    Given no target listens
    When request a1 is sent to it
    Then the error says that nothing was sent
