Feature: Links of test sites

  Scenario: A link whose first connection is given up is set up nevertheless
    Given a site whose daemons reach targets over links
    When the first connection over a link is given up while the link is set up
    Then the next connection over it is made
    And the site can be stopped
