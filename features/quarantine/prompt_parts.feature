Feature: A part of prompts that crashes the targets that answer it is quarantined
  Guards against 27 and 39 heads of groups that crashed under ever new requests with one part in their prompts. Each
  request was quarantined at its third crash, and none of the next ones was recognised.

  Scenario: After five crashes at most three more requests with the part reach targets
    Given an emulated site where 1 new requests with a part that crashes targets come every 0.5 s
    When it is played for 18 s with seed 1, with daemons that exchange reports
    Then no more than 3 requests with a crashing part reach targets later than 3 s after its fifth crash
    And sound requests are answered at the first attempt at least half as often as before
