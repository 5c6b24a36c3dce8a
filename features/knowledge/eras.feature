Feature: Store versions are compared by era
  A store restored from an older copy increments its era and assigns versions a second time.

  Scenario Outline: A store that reports era <first> and then <then> is <result>
    Given a store over HTTP that reports era <first>
    When a table is read, the store reports era <then>, and it is read again
    Then the second snapshot is <result>

    Examples:
      | first   | then    | result                  |
      | nothing | nothing | equal to the first      |
      | nothing | 1       | newer                   |
      | 1       | 2       | newer                   |
      | 2       | 2       | equal to the first      |
      | 2       | 1       | refused as unavailable  |
      | 2       | nothing | refused as unavailable  |
      | 1       | two     | refused as unavailable  |
      | 1       | -2      | refused as unavailable  |
      | 1       | ²       | refused as unavailable  |

  Scenario: Changes after a version that was assigned again are not taken as complete
    Given a store over HTTP that reports era 1
    When a table is read, and the store is restored and reaches that version again
    Then changes after the snapshot are refused as dropped history

  Scenario: A row is not replaced under a version that was assigned again
    Given a store over HTTP that reports era 1
    When a row is written, and the store is restored and assigns its version again
    And the row is replaced on condition of its version
    Then the writer is told that the outcome is unknown
    When it is replaced on that condition once more
    Then the condition has failed

  Scenario: Targets missing from a restored store are kept until they can be listed again
    Given a daemon that follows a store with the targets t1 and t2
    When the store is restored from a copy without t2
    Then the daemon knows t1 and t2 1 s later
    And the daemon knows t1 4 s later
