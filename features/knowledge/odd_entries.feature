Feature: Odd entries of other writers end no daemon, and hide no others
  They are nested 50,000 deep, have numbers of 400 digits, ports out of range, addresses that are none, or 0.8 MB.

  Scenario Outline: Daemons go on with odd rows in the table <table>
    Given a platform with three daemons, whose groups serve
    When another writer adds odd rows to the table <table>
    Then no daemon process ends within 2 s
    And daemons use a target that joins later, and drop one that leaves
    And a daemon that is killed and restarted serves again

    Examples:
      | table        |
      | servers      |
      | op           |
      | daemons      |
      | groups       |
      | quarantine   |
      | model_shares |
