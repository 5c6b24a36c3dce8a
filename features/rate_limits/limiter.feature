Feature: A daemon sends requests to rate-limited targets only with permits

  Scenario: An issuer that does not answer withholds its targets for longer each time
    Given a target whose permits another daemon issues
    When 6 requests ask for permits in a row and none is answered
    Then the target was withheld for 0.2, 0.4, 0.8, 1.6, 2.0 and 2.0 s
    And one line names the silent issuer

  Scenario: A target that is withheld is asked for no permit
    Given a target whose permits another daemon issues
    When a permit request is refused with a wait of 5 s
    And 10 more requests come within 1 s
    Then 1 permit request was sent

  Scenario Outline: A significant change of the limit ends the wait
    Given a target whose permits another daemon issues
    When a permit request is refused with a wait of 5 s
    And another daemon sends <news>
    Then the target is usable at once

    Examples:
      | news                    |
      | a limit of 20 per s     |
      | the end of the limit    |

  Scenario: An answer to the permit request of an earlier incarnation grants nothing
    Given a target whose permits another daemon issues
    When a permit request is followed by a grant with another number
    Then the request is withheld

  Scenario: A new issuer waits until all daemons have noticed the change
    Given a target whose permits this daemon issues since just now
    Then it grants nothing for 3 s, and a permit afterwards

  Scenario: A daemon that has lost most others issues no permits
    Given a target whose permits this daemon has issued for a while
    When it has lost most daemons of its data centre
    Then it grants nothing

  Scenario: A request for a permit that reaches another daemon than the issuer is refused
    Given a target whose permits another daemon issues
    When a third daemon asks this one for a permit
    Then it is refused with a wait of 0.5 s

  Scenario: Permits of a daemon that does not know of the end of a limit are granted
    Given a target that has ended its limit
    When a third daemon asks this one for a permit
    Then it is granted and learns of the end

  Scenario: A probe ends a limit only if probes of the target state limits
    Given a target whose permits this daemon has issued for a while
    When it states its limit in no response to a probe
    Then its limit is still known
    When it states its limit in a response to a probe and not in the next one
    Then its limit has ended

  Scenario: Probes that fail in a row are logged once
    Given a target whose permits this daemon has issued for a while
    When 5 probes of it fail
    Then one line says so

  Scenario: Only targets in demand with old statements are probed
    Given a target whose permits this daemon has issued for a while
    When no request has asked for a permit for 6 s
    Then it is not probed

  Scenario: A daemon that has just started gets all known limits
    Given 70 targets with limits
    When a daemon starts
    Then it is sent all 70 in 2 messages

  Scenario Outline: Messages with impossible values are refused as a whole
    When a message states a limit of <limit> that is <age> s old
    Then it cannot be decoded

    Examples:
      | limit | age |
      | nan   | 0   |
      | inf   | 0   |
      | 0     | 0   |
      | -1    | 0   |
      | 1     | nan |
      | 1     | inf |
      | 1     | -1  |
