Feature: The client of the store and of engines sends nothing twice that has an effect

  Scenario Outline: A <call> whose kept connection ends with its request is sent <times>
    Given a server that closes kept connections on the second request
    When a client makes two calls: first a read, then a <call>
    Then the server received the second call <times>
    And the outcome of the second call is <outcome>

    Examples:
      | call        | times | outcome          |
      | store write | once  | reply-lost       |
      | store read  | twice | a result         |
      | order       | once  | target-unreachable |
      | report      | twice | a result         |

  Scenario Outline: A gateway's <call> whose kept connection ends with its request is sent once
    Given a server that closes kept connections on the second request
    When a gateway makes the <call> twice
    Then the server received 2 requests and the second call failed

    Examples:
      | call         |
      | order        |
      | service call |
      | generation   |

  Scenario Outline: A store that <failure> leaves the writer with <outcome>
    Given a server that <failure>
    When a client writes a row
    Then the outcome of the call is <outcome>

    Examples:
      | failure                           | outcome           |
      | does not listen                   | store-unavailable |
      | ends connections without a reply  | reply-lost        |
      | never replies                     | reply-lost        |
      | ends connections within a reply   | reply-lost        |
      | replies with something else       | reply-lost        |
      | replies with status 503           | store-unavailable |

  Scenario Outline: A store that <failure> leaves the reader with store-unavailable
    Given a server that <failure>
    When a client reads a table
    Then the outcome of the call is store-unavailable

    Examples:
      | failure                           |
      | does not listen                   |
      | ends connections without a reply  |
      | never replies                     |
      | ends connections within a reply   |
      | replies with something else       |
      | replies with status 503           |
