Feature: Each arrival beyond the first at a target is taken from the retry budget
  A request is recorded once, by the daemon that sends it to targets.

  Scenario Outline: An attempt after one that may have arrived is taken from the budget
    Given a daemon whose links to the targets are <links>
    When the first attempt at a request fails because <failure>
    Then the second attempt is taken from the budget: <taken>

    Examples:
      | links | failure                                   | taken |
      | lost  | a target refused it                       | yes   |
      | lost  | no connection to a target could be opened | no    |
      | lost  | another daemon did not relay it           | no    |
      | sound | a target refused it                       | yes   |
      | sound | no connection to a target could be opened | yes   |

  Scenario Outline: A request is recorded by the daemon that sends it to targets
    Given a daemon whose links to the targets are <links>
    When it handles a request, and its links are <later> when that is sent again
    Then it has recorded <count> requests

    Examples:
      | links | later | count |
      | sound | sound | 1     |
      | sound | lost  | 0     |
      | lost  | lost  | 0     |
      | lost  | sound | 1     |

  Scenario: A relay that has sent a request to a target does not let another daemon relay it
    Given a daemon whose links to the targets are sound
    When it relays a request that a target refuses, and its links are then lost
    Then its refusal does not say that another daemon may relay the request
