Feature: A call to the store that ended early is no outage of the store

  # Guards against requests to a server that has left (review/9, DRAIN): a watch that was cut counted
  # as an outage, in which live servers lapse, so that servers missing after it stayed listed.
  Scenario: A server that leaves beside a cut watch is gone at once
    Given a directory that has read the whole store with servers "one, two"
    When a watch is cut, and 0.4 s later the store lists "one"
    Then "one" are published

  Scenario: Many cuts one after another are no outage either
    Given a directory that has read the whole store with servers "one, two, three"
    When a watch is cut, and 1.6 s later the store lists "one, two, three"
    And a watch is cut, and 1.6 s later the store lists "one, two, three"
    And a watch is cut, and 1.6 s later the store lists "one, three"
    Then "one, three" are published

  # Guards against a grace that each cut begins anew.
  Scenario: Cuts after an outage do not prolong the time for which lapsed servers stay
    Given a directory that has read the whole store with servers "one, two"
    When the store is lost and comes back without "two"
    Then "one, two" are published
    When 1.5 s pass for the directory
    And a watch is cut, and 0.4 s later the store lists "one"
    Then "one, two" are published
    When a watch is cut, and 0.4 s pass for the directory
    Then "one" are published

  # Guards against servers that are dropped while they renew their entries after an outage.
  Scenario: Servers that lapsed in an outage are kept, also where watches are cut after it
    Given a directory that has read the whole store with servers "one, two"
    When the store is silent for 3 s, and comes back without servers
    And a watch is cut, and 0.6 s later the store lists "∅"
    Then "one, two" are published
    When the servers listed are "one, two"
    And 3 s pass for the directory
    Then "one, two" are published

  # Guards against lapsed servers that are dropped because the store fails at that moment.
  Scenario: Lapsed servers are kept while the store is away again
    Given a directory that has read the whole store with servers "one, two"
    When the store is lost and comes back without "two"
    And the store is away again for 4 s
    Then "one, two" are published

  # Guards against a domain that stays drained since a watch was cut as the operator took it back.
  Scenario: A domain that is taken back beside a cut watch takes work at once
    Given a directory of "lagos" with "one" and of "kano" with "two"
    When the operator drains "lagos"
    And a watch is cut, and 0.4 s later the whole store is read without the drain
    Then "one, two" are published as live

  # Guards against a live server that stays leaving since a watch was cut.
  Scenario: A server that is listed as live again beside a cut watch is live at once
    Given a directory that has read the whole store with servers "one, two"
    When the store lists "two" as leaving
    And a watch is cut, and 0.4 s later the store lists "one, two"
    Then "two" is published as "live" in epoch 0

  # Guards against trusting an older copy because the store was away for a moment only.
  Scenario: An older copy is known by its era, however short the store was away
    Given a directory that has read the whole store with servers "one, two"
    When the store comes back 0.3 s later from an older copy without "two"
    Then "one, two" are published

  Scenario: A daemon that has just started does not know how long the store was away
    Given a directory that has read nothing
    When another daemon publishes "one, two"
    And a watch is cut, and 0.3 s later the store lists "one"
    Then "one, two" are published

  # Guards against the requests that reached a server later than DrainMs in review/9.
  Scenario: Daemons send nothing to a server that has left, however often watches are cut
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And an engine "desk-2" of "desk" in "lagos"
    And a routed daemon "a" in "lagos"
    And a routed daemon "b" in "kano"
    When 2 s go by
    And watches are cut each 1.2 s from now on, and "desk-1" is unlisted
    Then 2.5 s later calls through "a, b" reach "desk-2" only

  # Guards against callers who are refused since all servers lapsed while the store was away.
  Scenario: Callers are served while servers renew what lapsed in an outage
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And an engine "desk-2" of "desk" in "lagos"
    And a routed daemon "a" in "lagos"
    And a routed daemon "b" in "kano"
    When 2 s go by
    And the store is silent for 3 s, loses all servers, and has them again 1.2 s after its return
    Then no call through "a, b" was refused
