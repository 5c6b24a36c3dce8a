Feature: The store tells its era, and points are compared by it
  The store may come back from an older copy: then it counts an era more, and gives versions out again.

  Scenario Outline: A store whose answers say <first> and then <then> is <result>
    Given a store over HTTP that says <first>
    When a table is read, the store says <then>, and it is read again
    Then the second reading is <result>

    Examples:
      | first   | then    | result                  |
      | nothing | nothing | as far on as the first  |
      | nothing | 1       | further on              |
      | 1       | 2       | further on              |
      | 2       | 2       | as far on as the first  |
      | 2       | 1       | refused as unavailable  |
      | 2       | nothing | refused as unavailable  |
      | 1       | two     | refused as unavailable  |
      | 1       | -2      | refused as unavailable  |
      | 1       | ²       | refused as unavailable  |

  Scenario: Changes after a version that has been given out again are not taken as all there are
    Given a store over HTTP that says 1
    When a table is read, and the store comes back older and reaches that version again
    Then changes after what was read are refused as dropped history

  Scenario: A row is not replaced under a version that has been given out again
    Given a store over HTTP that says 1
    When a row is written, and the store comes back older and gives out its version again
    And the row is replaced under the condition of its version
    Then the writer is told that it may not have been written
    When it is replaced under that condition once more
    Then the condition has failed

  Scenario: Targets that an older copy of the store does not list are kept until they can be listed again
    Given a daemon that follows a store with the targets t1 and t2
    When the store comes back at once, as it was before t2 was listed
    Then the daemon knows t1 and t2 1 s later
    And the daemon knows t1 4 s later
