Feature: Addresses are checked where they are read

  # Guards against an address that ends a loop by TypeError where a connection is opened.
  Scenario: Addresses to which no connection could be opened are refused
    Then odd addresses are refused with ValueError
    And sound addresses are read
