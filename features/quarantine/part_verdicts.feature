Feature: Verdicts on parts of prompts at all daemons
  Eight daemons' quarantines in virtual time, over messages that take up to 3 ms.

  Scenario: Requests with a quarantined part are refused at once, as not run
    Given eight daemons at which targets have crashed under requests with a part
    Then all daemons refuse new requests with the part as not run, and say when it is tried
    And none refuses a request with the other part of these prompts

  Scenario: A run under way that has events goes on, and clears a sound part everywhere
    Given eight daemons, one of them with a run of a request with a part that has events
    When targets have crashed under requests with the part
    Then all daemons refuse new requests with the part as not run, and say when it is tried
    And the run was not aborted
    When the run is answered
    Then no daemon refuses requests with the part, not even after all have restarted

  Scenario: A run under way without events is aborted
    Given eight daemons, one of them with a run of a request with a part without events
    When targets have crashed under requests with the part
    Then the run was aborted

  Scenario: A daemon that has missed the lift of a quarantine does not bring it back, and learns of it
    Given eight daemons, one of them with a run of a request with a part that has events
    When targets have crashed under requests with the part
    And the daemon that repeats verdicts is isolated for 3 s
    And the run is answered
    Then 3 s later no daemon refuses requests with the part, not even after all have restarted

  Scenario: A part that crashes targets again after a lift is quarantined again
    Given eight daemons, one of them with a run of a request with a part that has events
    When targets have crashed under requests with the part
    And the run is answered
    And targets have crashed under requests with the part
    Then all daemons refuse new requests with the part as not run, and say when it is tried

  Scenario: After an hour one request tries a part, and its answer lifts the quarantine
    Given eight daemons at which targets have crashed under requests with a part
    When a request with the part arrives at all of them after 1 h
    Then one of them is sent on, and the others are refused
    When that one is answered
    Then no daemon refuses requests with the part, not even after all have restarted

  Scenario: Without the store all daemons refuse the part as soon
    Given eight daemons that do not reach the store
    When targets have crashed under requests with the part
    Then all daemons refuse new requests with the part as not run, and say when it is tried

  Scenario: Evidence outlives the restart of all daemons
    Given eight daemons at which two targets have crashed under requests with a part
    When all daemons restart
    And two more targets crash under requests with the part
    Then all daemons refuse new requests with the part as not run, and say when it is tried

  Scenario Outline: The list of prompt parts that a request states
    Then the header <value> states the shared parts <parts>

    Examples:
      | value                          | parts |
      | 5c1e:800,91bd:410,e440:250     | 5c1e 91bd |
      | 5C1E:800, 91bd:410             | 5c1e  |
      | 5c1e:800,5c1e:800,e440:250     | 5c1e  |
      | e440:250                       | none  |
      | 5c1e:-1,e440:250               | none  |
      | 5c1e,e440:250                  | none  |
      | 5c1e:800,,e440:250             | none  |
      | xyz:800,e440:250               | none  |

  Scenario: Malformed messages on parts are refused with a typed error
    Then messages with wrong fingerprints, too many parts, or ages that are negative, infinite or too great are refused
