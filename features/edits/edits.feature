Feature: Invalid, unconfirmed or conflicting edits change nothing
  Scenario: All problems of a file are reported at once, each with its line
    When this file is applied
      """
      [[group]]
      name = "g"
      modle = "m"
      vms = ""
      vms_per_group = 0
      count = 1

      [[wrkspace]]
      name = "w"
      """
    Then these problems are reported
      | where            | message                     |
      | :1 group/g model | required                    |
      | :3 group/g modle | did you mean 'model'        |
      | :4 group/g vms   | empty selector              |
      | :5 group/g       | greater than or equal to 1  |
      | wrkspace         | did you mean 'workspace'    |

  Scenario: Two declarations that select the same VM are refused, and the VM is named
    Given a configuration with one group of pool=large
    When a second group of domain=d1 is declared
    Then it is refused with "a1"

  Scenario Outline: A destructive edit is refused unless its own plan is confirmed
    Given an in-process site in virtual time with 4 groups granted
    When <edit> without confirmation
    Then it is refused with a plan that shows <effect>
    And confirming another plan is refused too
    And 4 groups are granted again

    Examples:
      | edit                                | effect         |
      | the group's selector gets a typo    | groups_broken  |
      | the last placement is removed       | workspaces_cut |
      | the model's group is removed        | models_lost    |

  Scenario: Concurrent edits, lost replies and outages lose no edit and report no false outcome
    When 20 random edit runs are made from seed 0
    Then the audit records match the configuration and the outcome that each operator got

  Scenario: A new model version is rolled out group by group without failed requests
    Given an in-process site in virtual time with 4 groups granted
    When the model's version is changed under load
    Then every group reloads, at most one at a time in the declaration
    And no request was interrupted or refused
