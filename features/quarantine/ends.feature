Feature: The exit of a target is distinguished from a lost connection
  Both used to be logged as "the connection ended", so operators could not tell which it was.

  Scenario Outline: Only an unexpected exit is detected when a connection is lost under a request
    Given a listed target that <behaviour>
    Then the connection was closed by the target: <closed>
    And the target is found to have exited: <exited>

    Examples:
      | behaviour                                             | closed | exited |
      | answers in part, and its process exits                | yes    | yes    |
      | reads the request, and its process exits              | yes    | yes    |
      | exits, and its port closes new connections at once    | yes    | yes    |
      | exits, and its port closes new connections in 0.2 s   | yes    | yes    |
      | drops the connection and resets new connections       | yes    | no     |
      | resets the connection and keeps running               | yes    | no     |
      | is marked as leaving, and its process exits           | yes    | no     |
      | was removed from the list, and its process exits      | yes    | no     |
      | was restarted meanwhile, and its process exits        | yes    | no     |
      | is silent, so that the daemon closes the connection   | no     | no     |

  Scenario: An unreachable host is no evidence that its target has exited
    Given a listed target whose host is unreachable
    Then the target is found to have exited: no

  Scenario: Ten requests that lose the same target probe its host only once
    Given a listed target that exits under 10 requests
    Then its host is probed once, and all 10 requests learn of the exit

  Scenario: All attempts of a request share a fingerprint that no other request has
    Then fingerprints differ by workspace, path and body, but not by the caller's attempt
