Feature: Requests wait by priority only where the settings ask for it
  Workspaces have priorities of their own on sites that never asked for this order.

  Scenario Outline: Different priorities alone change nothing
    Given settings of a daemon with <order> as the order of waiting requests
    And a configuration whose routes have priorities <priorities>
    Then requests wait by priority: <by priority>

    Examples:
      | order    | priorities | by priority |
      | none     | 0 2        | no          |
      | arrival  | 0 2        | no          |
      | priority | 0 2        | yes         |
      | priority | 1 1        | no          |

  Scenario: An order that is not known is refused
    Then settings with "urgency" as the order of waiting requests are refused
