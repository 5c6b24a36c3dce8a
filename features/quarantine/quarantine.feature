Feature: A request that ends the targets which run it is not sent on and on
  Callers of one model were hardly served for seconds, five times within 80 s. Heads of its groups ended one after
  the other, 0.2 s to 0.3 s apart, and were back after 3 s to 4 s. One request (the same path, caller and body)
  ended each of them 0.1 s after it had begun to run. Each daemon sent it to two targets and forgot it; its
  caller came back at other daemons, which knew nothing of it. Two such requests ended 17 and 23 targets.

  Evidence: up to 21 requests broke off within 4 ms at each end, always of heads of one model, and the fingerprint
  in `attempt-failed` is the same at all of them.

  Scenario Outline: It reaches three more targets at most once it has ended three
    Given an emulated site at which one request that ends its targets comes at 3 daemons every 2 s
    When it is played for 16 s with seed <seed>, with daemons that tell each other
    Then it reaches no more than 3 targets later than 3 s after the third end

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
