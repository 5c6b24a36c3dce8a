Feature: A gateway gives up a silent group only if that may help
  Guards against answers that were cut after 5 s without a token although their group was serving.

  Scenario Outline: A group that sends nothing for 7 s is given up if another attempt may follow or it has lost its grant
    Given two gateways with serving groups in virtual time
    When a <kind> answer with <attempts> attempts gets no token for 7 s as its engine <cause>
    Then the answer is <outcome> within <limit> s, after <sent> attempts

    Examples:
      | kind           | attempts | cause   | outcome | limit | sent |
      | not repeatable | 4        | is slow | whole   | 9     | 1    |
      | repeatable     | 1        | is slow | whole   | 9     | 1    |
      | repeatable     | 4        | is slow | whole   | 7     | 2    |
      | not repeatable | 4        | is lost | cut     | 7     | 1    |

  Scenario Outline: A connection on which nothing arrives is closed only if the response may be given up
    Given an engine that pauses for 0.5 s after the first of two tokens
    When a gateway reads its response with a limit of 0.1 s, and may give it up: <may>
    Then it gets <events> tokens and the outcome is <outcome>

    Examples:
      | may | events | outcome            |
      | no  | 2      | whole              |
      | yes | 1      | target-unreachable |
