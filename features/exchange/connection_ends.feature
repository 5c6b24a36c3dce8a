Feature: Streams that end with their connection are whole only at the end of an event of a target that runs
  Guards against a stream cut inside an event, or before its first one, that counted as ended by the target: callers got
  an empty stream as complete, and the crash of the target was not held against the request.

  Scenario Outline: A stream without length or chunks is told from one that a crash has cut
    Given a target that sends <content> without length or chunks, and <then>
    And a target that sends a whole stream
    When a caller asks for the stream
    Then it gets the whole stream from target <number>
    And a crash of the first target is recorded: <crash>

    Examples:
      | content                               | then                     | number | crash |
      | a whole stream                        | goes on listening        | 1      | no    |
      | a whole stream                        | whose process then exits | 2      | yes   |
      | a stream that ends between events     | whose process then exits | 2      | yes   |
      | a stream that ends inside an event    | whose process then exits | 2      | yes   |
      | a stream that ends in its first event | whose process then exits | 2      | yes   |
      | the head of a stream                  | whose process then exits | 2      | yes   |
