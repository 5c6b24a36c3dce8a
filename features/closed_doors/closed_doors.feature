Feature: Whoever does not belong is kept out, and bad input harms nothing
  Scenario Outline: The link between daemons
    Given a daemon that listens with mutual TLS
    When a peer calls <how>
    Then the call <result>

    Examples:
      | how                                         | result       |
      | with a certificate of the same authority    | is answered  |
      | with a certificate of another authority     | is refused   |
      | without TLS                                 | is refused   |
      | after both were given certificates anew     | is answered  |

  Scenario: Callers and operators without the right key
    Given a site of 1 gateways and 1 controllers
    And the demo configuration with 4 groups serving
    Then a wrong, missing or operator's key is refused to a caller with 401
    And a wrong, missing or caller's key is refused to an operator with 401
    And each kind of bad request gets its own error and the gateway goes on

  Scenario Outline: Parsers of what comes from outside
    Then <parser> answers anything with a value or its own error

    Examples:
      | parser            |
      | operators' files  |
      | selectors         |
      | idempotency keys  |
      | chat bodies       |
      | engines' status   |
      | engines' events   |
      | settings files    |
