Feature: A planned stop leaves no request without an answer
  Guards against requests on open connections that were accepted during a stop and ended by a cut or a bare 500.

  Scenario: Callers use open connections until the daemon is gone
    Given a platform with three daemons, whose groups serve
    When callers use open connections to a daemon that gets SIGTERM, SIGHUP and SIGTERM
    Then every short request was answered as long as its deadline passed before the end
    And each refusal came at once, is true, and closes its connection
    And what was running at the end got an error that says so
    And the daemon has ended by itself within its grace period
