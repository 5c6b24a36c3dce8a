Feature: A careless, mistaken or conflicting edit changes nothing
  Scenario: Everything wrong in a file is reported at once, with its line
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

  Scenario: Two declarations that claim one VM are refused, and the VM is named
    Given a configuration with one group of pool=large
    When a second group of domain=d1 is declared
    Then it is refused with "a1"

  Scenario Outline: A destructive edit needs its own plan confirmed
    Given a small site in fake time with 4 groups granted
    When <edit> without confirmation
    Then it is refused with a plan that shows <harm>
    And confirming another plan is refused too
    And 4 groups are granted again

    Examples:
      | edit                                | harm           |
      | the group's selector gets a typo    | groups_broken  |
      | the last placement is removed       | workspaces_cut |
      | the model's group is removed        | models_lost    |

  Scenario: Racing edits, lost replies and outages
    When 20 edit runs are made from seed 0
    Then the audit trail explains the configuration, and everybody was told the truth

  Scenario: A model's new version rolls group by group under load
    Given a small site in fake time with 4 groups granted
    When the model's version changes under load
    Then every group reloads, never more than one at a time in the declaration
    And no request was cut or refused
