Feature: Bytes that are no answer are given up early
  The server sends 64 MB at most; a client that does not stop would keep or read all of them.

  Scenario Outline: <bytes> without end are no answer
    Given an endless server that sends <bytes> without end
    When a client reads an answer from it
    Then it fails as answer-too-large within 1 s
    And the server could send no more than 12 MB

    Examples:
      | bytes                                     |
      | header lines                              |
      | one header name                           |
      | one header value                          |
      | reason phrase                             |
      | interim responses                         |
      | a body with neither length nor chunks     |
      | a body of a stated length                 |
      | a body in chunks                          |
      | a chunk extension                         |
      | chunks of one byte with long extensions   |
      | trailers                                  |
      | responses to other requests               |

  Scenario Outline: A sound answer with <property> is whole
    Given a sound server that sends an answer with <property>
    When a client reads an answer from it
    Then it gets the whole answer

    Examples:
      | property                        |
      | 200 headers                     |
      | a body of 4 MiB                 |
      | chunks of one byte              |
      | three interim responses         |
      | a body delimited by its end     |

  Scenario Outline: An answer that ends beyond a bound, in the same bytes, is not taken as whole
    Given a sound server that sends an answer with <property>
    When a client that accepts 1,000 bytes reads an answer from it
    Then it fails as answer-too-large within 1 s

    Examples:
      | property                        |
      | 2,000 bytes of a stated length  |
      | 2,000 bytes in chunks           |
      | 2,000 bytes delimited by its end |
      | 300 trailers                    |

  Scenario Outline: Slow bytes that lead to no answer leave the target silent
    Given a slow server that sends <bytes>
    When a client waits for an answer for 0.5 s
    Then its target has sent nothing that counts

    Examples:
      | bytes             |
      | header lines      |
      | interim responses |

  Scenario: A target that never completes an event counts as silent
    Given a stream whose target sends parts of one event every 0.1 s
    Then after 1.0 s it does not count as silent
    And after 1.5 s it counts as silent

  Scenario: An event without end is no answer
    Given bytes of an event without end in pieces of 4 KiB
    When they are split into events
    Then splitting fails after at most 260 KiB, within 1 s

  Scenario Outline: A gateway gives up <bytes> without end
    Given an endless server that sends <bytes> without end
    When a gateway makes a <call> there
    Then it fails within 1 s
    And the server could send no more than 24 MB

    Examples:
      | bytes                                 | call           |
      | header lines                          | status request |
      | a body with neither length nor chunks | status request |
      | a body in chunks                      | status request |
      | a body with neither length nor chunks | order          |
      | a body with neither length nor chunks | service call   |
      | a body with neither length nor chunks | store read     |
      | a body with neither length nor chunks | object read    |

  Scenario Outline: A caller's <bytes> without end are refused
    Given a web server
    When a caller sends <bytes> without end
    Then the server closes the connection within 1 s
    And the caller could send no more than 12 MB

    Examples:
      | bytes                                   |
      | header lines                            |
      | one header name                         |
      | request target                          |
      | a chunk extension                       |

  Scenario: Answers that are held wait for room in the order in which they grow
    Given 16 MB for answers that are held, and four answers of 4 MB that hold them
    When answers of 4 MB, 1 MB and 60 KB are read
    Then the one of 60 KB does not wait, and the others do
    When one of the four has been passed on, and the first that waits is given up
    Then the one of 1 MB is read
    And nothing is held once all have ended

  Scenario: An answer that is larger than the room for all is read alone
    Given 2 MB for answers that are held, and no answers
    When answers of 4 MB, 1 MB and 60 KB are read
    Then the one of 4 MB is read, and that of 1 MB after it
