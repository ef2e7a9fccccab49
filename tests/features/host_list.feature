Feature: An odd host of the platform's list costs no other host

  # Guards against a list that stands still for one host, and against an address that fails late,
  # where it ends the reading of the list or another caller's call.
  Scenario: Odd hosts are left out of the list and logged
    Then each odd host beside a sound one is left out of the list
    And 500 random lists are refused, or leave hosts that can be used and sent
    And a list of an odd form is an error of the platform

  # Guards against a host of another daemon's listing that fails in each loop that meets its address.
  Scenario: Hosts of a listing from another daemon that cannot be connected to are not used
    Given a listing of another daemon with a sound host and hosts at addresses that are none
    Then only the sound host is used, and the listing still has its digest
