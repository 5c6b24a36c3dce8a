Feature: A stream is not ended by a configuration that comes into force while it runs
  Guards against streams at silent targets that ended with an internal error because a new configuration had dropped their service.

  Scenario Outline: A stream keeps the route, the time limit and the service that it was accepted with
    Given a <kind> stream that may be sent to 2 targets, with a retry budget: yes
    And targets that are <targets>
    When the stream is forwarded, and a configuration <change> is in force 0.3 s later
    Then the stream is <outcome> and was sent to <sent> targets

    Examples: It may run elsewhere
      | kind      | targets       | change                                  | outcome        | sent |
      | resumable | paused, sound | with the same content                   | whole in 1.8 s | 2    |
      | resumable | paused, sound | without its route                       | whole in 1.8 s | 2    |
      | resumable | paused, sound | with its route to another service       | whole in 1.8 s | 2    |
      | resumable | paused, sound | without its service                     | whole in 1.8 s | 2    |
      | resumable | paused, sound | with a time limit of 0.4 s              | whole in 1.8 s | 2    |
      | resumable | paused, sound | with one attempt                        | whole in 1.8 s | 2    |
      | resumable | paused, sound | without any key                         | whole in 1.8 s | 2    |
      | resumable | paused, full  | without its service                     | whole          | 2    |

    Examples: It cannot
      | kind          | targets       | change                            | outcome         | sent |
      | not resumable | paused, sound | without its route                 | whole           | 1    |
      | not resumable | paused, sound | with its route to another service | whole           | 1    |
      | not resumable | paused, sound | without its service               | whole           | 1    |
      | not resumable | paused, sound | with a time limit of 0.4 s        | whole           | 1    |
      | not resumable | paused, sound | without any key                   | whole           | 1    |
      | not resumable | paused, sound | without any target                | whole           | 1    |
      | not resumable | endless       | with a time limit of 60.0 s       | failed in 8.1 s | 1    |
