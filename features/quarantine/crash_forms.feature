Feature: A part of prompts is quarantined however far engines get before they exit
  Daemons are separate processes in front of 48 engines of one process, eight heads of groups of the model. Prompts
  share one part of 60; a twentieth of them, ever new ones, have the bad part in its place.

  # How far an answer has come must not decide whether the exit is evidence.
  Scenario Outline: Engines that exit before their answer is whole are sent no more requests with the part
    Given a platform with <daemons> daemons, where an engine exits <form>, after which <aftermath>
    When prompts are sent for 24 s with seed <seed>, from 4 s on also some with a bad part
    Then the bound on requests with a bad part holds, and no sound part is convicted

    Examples:
      | daemons | form                        | aftermath                                             | seed |
      | 4       | before any byte of its head | connections are refused until it restarts             | 1    |
      | 4       | in the middle of its head   | connections are refused until it restarts             | 2    |
      | 8       | right after its first event | connections are refused until it restarts             | 1    |
      | 4       | after 0.4 s of events       | connections are refused until it restarts             | 3    |
      | 8       | 0.08 s after its whole head | connections are accepted and closed until it restarts | 1    |
