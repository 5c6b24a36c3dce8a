Feature: Streams that end with their connection are whole only at the end of an event
  Guards against a stream cut inside an event, or before its first one, that counted as ended by the target: callers got
  an empty stream as complete, and the crash of the target was not held against the request.

  Scenario Outline: A stream without length or chunks is told from one that a crash has cut
    Given a target that sends <content> without length or chunks, and whose process then exits
    And a target that sends a whole stream
    When a caller asks for the stream
    Then it gets the whole stream from target <number>
    And a crash of the first target is recorded: <crash>

    Examples:
      | content                               | number | crash |
      | a whole stream                        | 1      | no    |
      | a stream that ends inside an event    | 2      | yes   |
      | a stream that ends in its first event | 2      | yes   |
      | the head of a stream                  | 2      | yes   |
