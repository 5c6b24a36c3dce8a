Feature: Retries that targets read late keep to the retry budget
  A request that a daemon has given up may still be read by its target.

  Scenario: Targets that stand still read no more retries at once than are allowed
    Given eight daemons and nine targets as processes
    When all targets stand still for 22 s
    Then retries have arrived at the targets
    And no window has more repeats at a service than all daemons together are allowed
