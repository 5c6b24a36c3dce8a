Feature: No input from other processes breaks a daemon
  Entries of the list may come from other writers, and any response, row and datagram may be
  damaged: input that does not match its types is refused with a typed error.

  Scenario Outline: Damaged input decoded as <what> matches its types or is refused
    When 400 inputs are decoded as <what>
    Then each was refused with the typed error or matches its types
    And some were accepted and some refused

    Examples:
      | what            |
      | list entry      |
      | report          |
      | configuration   |
      | domain plan     |
      | registration    |
      | heartbeat       |
      | target changes  |
      | evacuated set   |
      | peer state      |
      | store rows      |

  Scenario: The check fails for a decoder that does not check types
    When 400 inputs are decoded as list entry without type checks
    Then the check finds one that was neither refused nor matches its types

  Scenario: An unreadable entry leaves the others in force
    Given a list with the valid entries t1 and t2
    When t3 is received with a service that is a number
    Then the list contains t1 and t2
    And one line says that t3 is unreadable

  Scenario: An unreadable entry is logged once for each change of its content
    Given a list with the valid entries t1 and t2
    When t3 is received with a service that is a number
    And the whole list is read again
    And t3 is received with slots that are -3
    Then two lines say that t3 is unreadable

  Scenario: A target whose entry becomes unreadable gets no new requests until a valid one arrives
    Given a list with the valid entries t1 and t2
    When t2 is received with an address that is null
    Then t2 is listed as leaving
    When t2 is received with its valid entry again
    Then t2 is listed as ready

  Scenario: An entry of an earlier incarnation is not restored
    Given a list with the valid entries t1 and t2
    When t2 is received as started 5000 ms later
    And t2 is received as started 0 ms later
    Then t2 is listed as started 5000 ms later
    When t2 is removed
    And t2 is received as started 0 ms later
    Then the list contains t1

  Scenario: An entry that has lost its start time is refused as another writer's
    Given a list with the valid entries t1 and t2
    When t2 is received without its start time
    Then t2 is listed as leaving

  Scenario: Invalid parts of a configuration leave the valid ones in force
    When a configuration arrives whose second route has no prefix and whose second key list is a number
    Then its first route and its first workspace are in force
    And two parts are reported as refused

  Scenario: An unreadable configuration changes nothing and does not count as loss of the store
    Given a daemon with a configuration in force
    When the store returns a configuration that is a list
    Then the configuration in force is the same, and the store counts as available
