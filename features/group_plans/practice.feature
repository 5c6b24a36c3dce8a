Feature: Spares perform a warm-up join
  A join takes 0.2 s if the engine's last group had the same model; otherwise the engine loads the
  weights from its host first. A warm-up join saves a spare that load in a later repair.

  Scenario Outline: An idle spare warms up once if its host stores a model of the domain
    Given a spare that stores <stored>, joined <joined> last, and has <orders> orders by report
    Then in a domain of large it is to <action>

    Examples:
      | stored  | joined  | orders | action                |
      | large   | nothing | 0      | join a warm-up group  |
      | large   | nothing | no     | be asked for a report |
      | large   | large   | 2      | do nothing            |
      | large   | small   | 2      | join a warm-up group  |
      | small   | nothing | 0      | do nothing            |
      | nothing | nothing | 0      | do nothing            |

  Scenario: A warm-up group is left only once the spare is ready
    Given a spare that is joining a warm-up group
    Then no order is sent
    When it is ready in that group
    Then it is ordered to leave that group

  Scenario: A spare counts as free during a warm-up
    Given a spare that is joining a warm-up group
    Then it counts as free

  Scenario: A planned group is not taken for a warm-up group because of its domain's name
    Given an unplanned member of the group x-alone-12 in a domain called x-alone
    Then it does not count as free

  Scenario: Warm-ups shorten the repair of a group by more than a second
    Given a coordinator of nine engines with one serving group
    When a member of the group is lost, with and without warm-ups of the spares
    Then the group serves again at least 1.2 s sooner with warm-ups
