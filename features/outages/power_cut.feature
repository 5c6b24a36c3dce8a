Feature: Callers get truthful refusals when everything loses power at the same moment
  The store, all daemons and all targets are gone, and start again seconds later. Only the rows of the store last.
  Machines without power answer nothing, so connections to them neither open nor fail.

  Scenario Outline: Each answer is whole or a true refusal, and everything is served again
    Given a platform with three daemons that may lose power, whose groups serve
    When everything loses power under requests, and returns as <order> with <rows>
    Then the requests that were cut look cut
    And later ones get a whole answer, a refused connection, or a true refusal within their time
    And everything is served again within 20 s
    And no engine ran anything in a partial group or in two groups

    Examples:
      | order                                  | rows                                    |
      | the daemons and the targets, the store | its last rows                           |
      | the store, the daemons and the targets | its last rows                           |
      | the daemons, the targets and the store | a copy from before any daemon had begun |
      | the store, the daemons and the targets | a copy from before any daemon had begun |

  Scenario: Requests are refused at once while no target can be reached
    Given a platform with three daemons that may lose power, whose groups serve
    When everything loses power under requests, and returns as the store and the daemons, the targets with its last rows
    Then later ones get a whole answer, a refused connection, or a true refusal within their time
    And everything is served again within 20 s
    And each refusal came within 1.0 s

  Scenario: A route that the store's older copy lacks is refused as not run until it is back
    Given a platform with three daemons that may lose power, whose groups serve
    When everything loses power under requests, and returns as the store and the daemons and the targets with a copy that lacks a route
    Then later ones get a whole answer, a refused connection, or a true refusal within their time
    And everything is served again within 20 s
