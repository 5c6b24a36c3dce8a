Feature: Missing answers to report requests are interpreted correctly
  In virtual time. A call takes 5 ms of processor time on a small VM; a report that is not read
  within 0.15 s counts as missing.

  Scenario: A coordinator that requests reports of all engines of a large site finds none silent
    Given 925 healthy engines and a coordinator whose calls take 5 ms of processor time each
    When it requests reports of all of them at once
    Then all have reported within 8 s and none is silent

  Scenario: Without a limit on concurrent requests hundreds of healthy engines seem silent
    Given 925 healthy engines and a coordinator whose calls take 5 ms of processor time each
    When it requests reports of all of them at once, with no limit on concurrent requests
    Then more than 500 seem silent

  Scenario: A coordinator does not consider itself isolated if one of its two domains is unreachable
    Given a coordinator that owns 2 of 6 domains of 8 engines
    When one of its domains becomes unreachable, and it requests reports of its engines for 4 s
    Then it continues to coordinate, and those 8 engines are silent

  Scenario: A coordinator that reaches no engine considers itself isolated and stops coordinating
    Given a coordinator that owns 2 of 6 domains of 8 engines
    When it reaches no engine, and requests reports of those of its domains for 4 s
    Then it stops coordinating within 2.5 s, and finds no engine of its domains silent

  Scenario: A coordinator whose links are found lost takes no engine for silent, and stops coordinating
    Given a coordinator that owns 2 of 6 domains of 8 engines
    When it knows that it reaches no targets, and requests reports of those of its domains
    Then it stops coordinating within 0.4 s, and finds no engine of its domains silent

  Scenario: An engine that does not answer is silent after two report requests
    Given an engine that never answers
    When a report is requested
    Then it is silent after 2 report requests

  Scenario: A report request during which the process paused is not evidence of silence
    Given an engine that never answers, and a process that pauses for 0.3 s in each request
    When a report is requested
    Then it is not silent after 6 report requests

  Scenario: A pause of the coordinator is no silence of an engine that goes on meanwhile
    Given an engine that answers after 1.0 s, whose host accepts connections
    When its report is requested by a process that pauses from 0.6 s to 4.2 s
    Then it is not silent after 5.0 s

  Scenario Outline: An engine whose host accepts connections is given time to go on
    Given an engine that answers after <paused> s, whose host <accepts> connections
    When its report is requested
    Then it is <outcome> after <seconds> s

    Examples:
      | paused | accepts | outcome    | seconds |
      | 1.5    | accepts | not silent | 3.0     |
      | 2.2    | accepts | not silent | 5.0     |
      | 2.8    | accepts | not silent | 5.0     |
      | 3.8    | accepts | not silent | 5.0     |
      | 1.5    | refuses | silent     | 0.4     |
      | 1.5    | ignores | silent     | 0.4     |
      | 9.0    | refuses | silent     | 0.4     |
      | 9.0    | ignores | silent     | 0.4     |
      | 9.0    | accepts | silent     | 4.3     |
