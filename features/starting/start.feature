Feature: cowslip-entry serves as soon as it has imported what the first requests need

  Scenario: A daemon does not keep its first callers waiting for imports they do not need
    When a daemon starts and lists the modules that it has imported before it serves
    Then there are at most 455 of them
    And none of them belongs to what is loaded late or not at all

  Scenario: The first caller of a daemon without a configuration is told to come back
    Given a daemon that has not loaded its late components, without a store
    When a caller sends a request to it
    Then the caller gets status 503 and a Retry-After header

  Scenario: Metrics count what happened before their library was loaded
    Given a daemon that has not loaded its late components, without a store
    When a caller sends a request to it
    Then its metrics are answered with status 503
    When its late components are loaded
    Then its metrics count 1 start and 1 refused request

  Scenario: A daemon does not load late components while it waits for its configuration
    When a daemon starts whose store takes 0.4 s to answer
    Then it has its configuration and targets before it loads late components

  Scenario: A daemon that cannot load a late component does not go on without it
    Given a daemon whose late components cannot be imported
    When it runs until it ends
    Then it ended with exit code 70 and logged the import that failed

  Scenario: A stop requested while late components are loaded is graceful
    Given a daemon that has not loaded its late components, without a store
    When it gets SIGTERM
    Then it ended with exit code 0 and logged that it stopped

  Scenario: A reload requested while late components are loaded is applied
    Given a daemon that has not loaded its late components, without a store
    When its log level is changed to warning and it gets SIGHUP
    Then it logs that it has read the settings
    When its late components are loaded
    Then it still runs

  Scenario Outline: The command line works as with all commands in cleo: <arguments>
    When cowslip-entry is called with "<arguments>"
    Then it exits with code <code> and reports "<message>"

    Examples:
      | arguments       | code | message                                     |
      | run             | 2    | Name a settings file or set                 |
      | run /nonexist   | 2    | /nonexist: No such file or directory        |
      | run /a /b       | 1    | Too many arguments to "run" command         |
      | run --foo /a    | 1    | The option "--foo" does not exist           |
      | run --help      | 0    | Serve callers and take part in control      |
      | check /nonexist | 2    | /nonexist: No such file or directory        |
      | bogus           | 1    | The command "bogus" does not exist          |

  Scenario: A daemon without a configuration reads it from a peer as soon as it hears one
    Given a daemon that has just started while its store is unavailable
    When it hears of a peer with a configuration after 0.03 s
    Then it reads the peer's state within 0.03 s
