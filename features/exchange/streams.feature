Feature: Streams that break and continue at another target
  Scenario: Whatever targets send, the caller gets each event once and in order
    Then any runs of targets, cut anywhere, are forwarded as a prefix of the reference stream

  Scenario: An event is forwarded only once it is complete
    When the bytes of an event arrive one by one
    Then it is returned once, after its last byte

  Scenario: A run that skips an event is refused
    Given a caller that has the events up to 4
    When a target continues with event 6
    Then nothing is forwarded and the run is refused
