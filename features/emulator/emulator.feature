Feature: An emulator in virtual time around the decision code
  Engines, callers and faults are emulated; choosing, retrying, silence, urgency, news, and the
  forming and repairing of groups are the daemons' own code.

  Scenario: A calm site serves everybody on time
    Given an emulated site without faults
    When it is played for 6 s with seed 1
    Then at least 0.97 of the requests are answered on time and none fails
    And the oracle of the groups saw nothing

  Scenario: A seed plays the same way every time
    Given an emulated site that loses 2 engines every 2 s
    When it is played for 6 s with seed 3, twice
    Then both plays gave the same figures, and another seed gives others

  Scenario: Losses cost callers, and more so without a mechanism
    Given an emulated site that loses 2 engines every 2 s
    When it is played for 10 s with seeds 0 to 2, as it is and without-silence-watch
    Then losses cost credit, and without the mechanism they cost more
    And the oracle of the groups saw nothing

  Scenario: Engines that start again under their ids break no rule
    Given an emulated site on which 2 engines start again every 1 s
    When it is played for 10 s with seeds 0 to 2, as it is
    Then the oracle of the groups saw nothing
    And at least 0.80 of the requests are answered

  Scenario: Paired differences are told with their interval
    Given results of two policies whose credit differs by 0.05 and a little luck
    Then the difference is 0.05 within its interval, which lies above 0

  Scenario Outline: A wrong experiment is told, and nothing is run
    Given an experiment file with <fault>
    When it is run from the command line
    Then it ends with exit code 2 and says "<words>"

    Examples:
      | fault                       | words      |
      | a kind of an unknown model  | no model   |
      | an unknown policy           | known:     |
      | an unknown key              | unknown    |
      | a negative rate             | per_s      |

  Scenario: Results that cannot be read are told
    Given a file of results with a line that is no run
    When it is compared with itself from the command line
    Then it ends with exit code 2 and says "results"
