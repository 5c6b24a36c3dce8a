Feature: Daemons tell each other of slow targets

  Scenario: A slow target is known in all data centres
    Given daemons a1, a2 and a3 in one data centre and b1 and b2 in another
    When a3 observes a slow target
    Then after 1.5 s all daemons take it for slow

  Scenario: Nothing is sent while no target is slow
    Given daemons a1, a2 and a3 in one data centre and b1 and b2 in another
    Then no message is sent in 5 s

  Scenario: Nothing is sent, and nothing taken in, while requests in flight are compared
    Given daemons a1, a2 and a3 in one data centre and b1 and b2 in another
    And a2 compares requests in flight
    When a3 observes a slow target
    Then after 1.5 s all daemons but a2 take it for slow
    And a2 has sent no message

  Scenario: A data centre that is lost leaves nothing behind
    Given daemons a1, a2 and a3 in one data centre and b1 and b2 in another
    When a3 observes a slow target
    And its data centre is lost after 1.5 s
    Then 2.1 s later b2 takes no target for slow

  Scenario: A reporter that is lost only delays what is told
    Given daemons a1, a2 and a3 in one data centre and b1 and b2 in another
    When a1, the reporter, is lost before a3 observes a slow target again and again
    Then 1.5 s later a2, b1 and b2 take it for slow

  Scenario: Lost messages delay what is told
    Given daemons a1, a2 and a3 in one data centre and b1 and b2 in another
    And half of all messages are lost
    When a3 observes a slow target again and again
    Then after 4 s all daemons take it for slow

  Scenario: A daemon that finds most targets slow tells nobody, and says so in one log line
    Given daemons a1, a2 and a3 in one data centre and b1 and b2 in another
    When a3 observes that all 12 targets are slow
    Then after 1.5 s b2 takes no target for slow
    And a3 has sent no message, and one line says so

  Scenario: Messages with impossible factors are refused, large ones bounded
    Then a report with a factor of -1 percent is unreadable
    And a report with a factor of 10000000000000 percent counts as a factor of 4

  Scenario: The settings name the cost, and a change takes effect without a restart
    Then the setting "in-flight" is accepted, "expected-time" too and "fastest" is not
    And a daemon whose settings change compares by expected time from then on

  Scenario: Slow and normal targets are logged, in a bounded number of lines
    When 40 targets turn slow in the view of a daemon
    Then 10 lines say so, and the metric counts 40

  Scenario: The line of a request tells expected and actual time
    When a request to a normal target has its first event after 0.2 s
    Then its line tells an expected time, 0.2 s and a speed of 1
