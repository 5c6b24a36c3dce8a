Feature: Questions to engines say something about the engines
  In fake time. A call takes 5 ms of a small VM's processor time, and an answer that is not read within 0.15 s
  counts as none.

  Scenario: A coordinator that asks all engines of a large site finds none silent
    Given 925 sound engines and a coordinator whose calls take 5 ms of its time each
    When it asks them all at once
    Then all are heard within 8 s and none is silent

  Scenario: Asked without a limit, hundreds of sound engines seem silent
    Given 925 sound engines and a coordinator whose calls take 5 ms of its time each
    When it asks them all at once, with no limit on the calls under way
    Then more than 500 seem silent

  Scenario: A coordinator one of whose two domains goes dark does not doubt itself
    Given a coordinator that keeps 2 of 6 domains of 8 engines
    When one of its domains goes dark, and it asks that domain's engines for 4 s
    Then it goes on coordinating, and those 8 engines are silent

  Scenario: A coordinator that reaches no engine leaves its domains to others
    Given a coordinator that keeps 2 of 6 domains of 8 engines
    When it reaches no engine, and asks those of its domains for 4 s
    Then it stops to coordinate within 2.5 s, and calls no engine of its domains silent

  Scenario: An engine that does not answer is silent after two questions
    Given an engine that never answers
    When it is asked
    Then it is silent after 2 questions

  Scenario: A question in which the process stood still says nothing
    Given an engine that never answers, and a process that stands still for 0.3 s in each question
    When it is asked
    Then it is not silent after 6 questions
