Feature: A request is sent to a suspected target rather than to none
  Guards against requests that were refused although a target was left, as it was suspected and one that had been tried was not.

  Scenario Outline: A suspected target is used if no other is left
    Given a <kind> stream that may be sent to 2 targets, with a retry budget: yes
    And targets that are <targets>
    And suspicions of the targets <suspected>
    When the stream is forwarded
    Then the stream is <outcome> and was sent to <sent> targets

    Examples:
      | kind          | targets            | suspected | outcome         | sent |
      | resumable     | full, sound        | 1         | whole in 1.4 s  | 2    |
      | not resumable | full, sound        | 1         | whole in 1.4 s  | 2    |
      | not resumable | full, sound, sound | 1         | whole in 1.4 s  | 2    |
      | not resumable | full, sound, sound | 1, 2      | whole in 1.4 s  | 2    |
      | resumable     | lost, sound        | 1         | whole in 1.9 s  | 2    |
      | resumable     | sound              | 0         | whole in 1.4 s  | 1    |
      | resumable     | full, full         | 1         | failed in 2.5 s | 2    |
