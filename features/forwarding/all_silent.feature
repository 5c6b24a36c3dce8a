Feature: Streams that wait for silent targets hold a bounded amount of everything
  Guards against a daemon that spends its processor time on the streams that it cannot send while all of its targets are silent.

  Scenario: What the streams hold is bounded, and those without a place are refused
    Given 20 targets with 6 places each that send nothing for 5 s
    When 500 streams arrive at once
    Then after 1 s each target has at most 8 open connections and 500 streams are not answered
    And after 3 s each target has at most 8 open connections and 160 streams are not answered
    And after 1 s each stream takes at most 24000 bytes
    And targets are sought at most 1100 times in each second after the first
    And 340 streams were refused within 2.5 s and told to return after at least 0.5 s
    And 160 streams are whole

  Scenario: Callers who leave free everything at once
    Given 20 targets with 6 places each that send nothing for 5 s
    When 500 streams arrive at once and their callers leave after 1 s
    Then after 1.1 s each target has at most 0 open connections and 0 streams are not answered
    And after 1.1 s no request is in flight

  Scenario: Streams are served once the targets go on
    Given 20 targets with 6 places each that send nothing for 1.5 s
    When 500 streams arrive at once and callers send up to 4 requests
    Then 500 streams are whole
