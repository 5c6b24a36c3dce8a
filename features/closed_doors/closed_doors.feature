Feature: Only authenticated peers, callers and operators are served, and malformed input is rejected
  Scenario Outline: A daemon answers only peers with a certificate of its own authority
    Given a daemon that listens with mutual TLS
    When a peer calls <credentials>
    Then the call <result>

    Examples:
      | credentials                                 | result       |
      | with a certificate of the same authority    | is answered  |
      | with a certificate of another authority     | is refused   |
      | without TLS                                 | is refused   |
      | after both certificates were renewed        | is answered  |

  Scenario: Requests without a valid key and malformed requests are refused
    Given a site of 1 gateways and 1 controllers
    And the demo configuration with 4 groups serving
    Then callers with a wrong key, none or an operator's key are refused with 401
    And operators with a wrong key, none or a caller's key are refused with 401
    And each kind of bad request gets its own error, and the gateway keeps serving

  Scenario Outline: Parsers of external input raise no error but their own
    Then the parser of <parser> returns a value or raises its own error for any input

    Examples:
      | parser            |
      | operators' files  |
      | selectors         |
      | idempotency keys  |
      | chat bodies       |
      | engines' status   |
      | engines' events   |
      | settings files    |
