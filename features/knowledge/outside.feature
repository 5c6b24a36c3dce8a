Feature: Nothing that comes from outside breaks a daemon
  Entries of the list may come from other writers, and every other answer, row and datagram may
  be damaged: what does not fit its types is refused with the one typed error.

  Scenario Outline: Whatever comes as <what> is taken in its types or refused
    When 400 contents are decoded as <what>
    Then each was refused with the typed error or taken in its types
    And some were taken and some refused

    Examples:
      | what            |
      | list entry      |
      | report          |
      | configuration   |
      | domain plan     |
      | registration    |
      | heartbeat       |
      | target changes  |
      | peer state      |
      | store rows      |

  Scenario: A decoder that takes fields as they come is found out
    When 400 contents are decoded as list entry, fields as they come
    Then the check finds one that was neither refused nor taken in its types

  Scenario: An entry that cannot be read leaves the others in force
    Given a list with the good entries t1 and t2
    When t3 comes with a service that is a number
    Then the list names t1 and t2
    And one line says that t3 cannot be read

  Scenario: An entry that cannot be read is logged once for each change of its bytes
    Given a list with the good entries t1 and t2
    When t3 comes with a service that is a number
    And the whole list is read again
    And t3 comes with slots that are -3
    Then two lines say that t3 cannot be read

  Scenario: A target whose entry turns bad takes nothing new until a good one comes
    Given a list with the good entries t1 and t2
    When t2 comes with an address that is null
    Then t2 is named as leaving
    When t2 comes with its good entry again
    Then t2 is named as ready

  Scenario: An entry of an earlier life does not come back
    Given a list with the good entries t1 and t2
    When t2 comes as it started 5000 ms later
    And t2 comes as it started 0 ms later
    Then t2 is known as it started 5000 ms later
    When t2 is dropped
    And t2 comes as it started 0 ms later
    Then the list names t1

  Scenario: An entry that no longer tells its life is another writer's
    Given a list with the good entries t1 and t2
    When t2 comes without the time of its start
    Then t2 is named as leaving

  Scenario: Bad parts of a configuration leave the good ones in force
    When a configuration comes whose second route has no prefix and whose second key list is a number
    Then its first route and its first workspace are in force
    And two parts are named as refused

  Scenario: A configuration that cannot be read changes nothing and is no loss of the store
    Given a daemon with a configuration in force
    When the store tells a configuration that is a list
    Then the configuration in force is the same, and the store counts as answering
