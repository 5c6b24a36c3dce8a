Feature: The stand-in for the store keeps what the platform promises about its own rows
  Guards against an order in which the store came back older twice and rows of engines stayed old for good.

  Scenario: Rows of the platform are as last written once the lost ones are written again
    Given a store whose row of an engine is copied as "joining", then copied as "ready", then changed again
    When it is restored to one copy, and to another before the lost rows of the first restore are written again
      | changed   | first   | second  | written again first |
      | opened    | ready   | joining | first restore       |
      | opened    | ready   | joining | second restore      |
      | opened    | joining | ready   | first restore       |
      | dropped   | ready   | joining | first restore       |
      | opened    | ready   | ready   | second restore      |
    Then the row of the engine is as last written each time

  Scenario: A row that is written after a restore is not replaced by the lost one
    Given a store whose row of an engine is copied as "joining", then copied as "ready", then changed again
    When it is restored to the second copy, the engine writes "closing", and the lost rows are written again
    Then the row of the engine is as last written each time
