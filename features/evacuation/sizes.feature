Feature: Large sites keep to the bound of evacuations as small ones do

  Scenario: 195 daemons of which the store refuses most
    When hall-0 is evacuated for 6.5 s at 13 data centres of 15 daemons, with the store "refusing"
    Then no request is sent there later than 5 s after that
    And all daemons use it within 3 s after it is taken back
