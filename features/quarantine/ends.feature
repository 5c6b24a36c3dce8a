Feature: A target that has ended is told from a connection that broke
  On-call engineers could not tell from the logs whether a target ended under a request or only the
  connection broke: both read "the connection ended".

  Scenario Outline: What is found out after a connection broke under a request
    Given a listed target that <ends>
    Then the connection was closed by the target: <closed>
    And the target has ended by itself: <ended>

    Examples:
      | ends                                             | closed | ended |
      | answers in part, and its process ends            | yes    | yes   |
      | reads the request, and its process ends          | yes    | yes   |
      | resets the connection and goes on                | yes    | no    |
      | was about to leave, and its process ends         | yes    | no    |
      | left the list, and its process ends              | yes    | no    |
      | started again meanwhile, and its process ends    | yes    | no    |
      | is silent, so that this side closes              | no     | no    |

  Scenario: A host that answers nothing says nothing of its target
    Given a listed target whose host is cut off
    Then the target has ended by itself: no

  Scenario: Ten requests that see one end look into it once
    Given a listed target that ends under 10 requests
    Then its host is asked once, and all 10 learn that it has ended

  Scenario: The same request has the same fingerprint, and no other has it
    Then fingerprints differ by workspace, path and body, and not by the caller's attempt
