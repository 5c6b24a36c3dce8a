Feature: Spares practise a join
  A join takes 0.2 s if the engine's last group had the same model, else its host loads the weights
  first. A spare that has joined a group of its own once repairs another one that much sooner.

  Scenario Outline: A spare practises once, if it holds a model of its domain and nothing else is on
    Given a spare that holds <held>, joined <joined> last, and has <orders> orders by report
    Then in a domain of large it is to <do>

    Examples:
      | held    | joined  | orders | do                               |
      | large   | nothing | 0      | join a group of its own          |
      | large   | nothing | no     | be asked for its count           |
      | large   | large   | 2      | rest                             |
      | large   | small   | 2      | join a group of its own          |
      | small   | nothing | 0      | rest                             |
      | nothing | nothing | 0      | rest                             |

  Scenario: It is left alone until it is ready, and told to leave then
    Given a spare that is joining a group of its own
    Then nothing is ordered
    When it is ready there
    Then it is told to leave that group

  Scenario: It repairs a group also while it practises
    Given a spare that is joining a group of its own
    Then it counts as free

  Scenario: A planned group is never taken for practice, whatever its domain is called
    Given a stray in the group x-alone-12 of a domain called x-alone
    Then it does not count as free

  Scenario: A group serves more than a second sooner after a loss
    Given a coordinator of nine engines, one group of which serves
    When a member of the group is lost, with practised spares and with others
    Then the group serves again at least 1.2 s sooner with practised spares
