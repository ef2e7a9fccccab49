Feature: The store comes back from an older copy

  # A daemon is bound to go by a change in 2.5 s once it has been undisturbed for 4 s.

  Background:
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"

  # Guards against listings that are numbered by revisions which the store gives out again: daemons
  # that started after the drill ignored every change in the list of servers.
  Scenario: Daemons that are started again after the drill follow the list of servers
    Given a routed daemon "a" in "lagos"
    And a routed daemon "b" in "kano"
    When the store is copied
    And the operator writes 20 documents
    And "desk-2" starts in "lagos"
    And the store is away for 1 s and comes back from the copy
    And the operator and "desk-2" write again
    And routed daemon "a" is killed and started again
    And 2 s go by
    And routed daemon "b" is killed and started again
    And 4 s go by
    And "desk-3" starts in "lagos"
    And "desk-1, desk-2" drain
    Then 2.5 s later calls through "a, b" reach "desk-3" only

  # Guards against a listing of the lost history that comes from a daemon which the store rejects.
  Scenario: A daemon that only heard of the lost history holds nobody up
    Given the store is reached by "b" through a proxy
    And a routed daemon "a" in "lagos"
    And a routed daemon "b" in "kano" behind the proxy
    When the proxy of "b" refuses everything
    And the store is copied
    And the operator writes 20 documents
    And "desk-2" starts in "lagos"
    And "b" has the list with "desk-2"
    And the store is away for 1 s and comes back from the copy
    And the operator and "desk-2" write again
    And routed daemon "a" is killed and started again
    And 4 s go by
    And "desk-3" starts in "lagos"
    And "desk-1, desk-2" drain
    Then 2.5 s later calls through "a, b" reach "desk-3" only

  # Guards against changes that no watch tells: their revisions are below the one it goes on from.
  Scenario: Changes at revisions that were given out before are found
    Given a routed daemon "a" in "lagos"
    When the store is copied
    And the operator writes 12 documents
    And the store comes back unseen, "desk-2" starts and "desk-1" drains, and 20 more revisions pass
    Then 2.5 s later calls through "a" reach "desk-2" only

  Scenario: Two drills two seconds apart
    Given a routed daemon "a" in "lagos"
    And a routed daemon "b" in "kano"
    When the store is copied
    And the operator writes 20 documents
    And "desk-2" starts in "lagos"
    And the store is away for 0.5 s and comes back from the copy
    And the operator and "desk-2" write again
    And 2 s go by
    And the store is away for 0.5 s and comes back from the copy
    And the operator and "desk-2" write again
    And routed daemon "a" is killed and started again
    And 2 s go by
    And routed daemon "b" is killed and started again
    And 4 s go by
    And "desk-1" drain
    Then 2.5 s later calls through "a, b" reach "desk-2" only

  # Guards against a renewal that keeps another's lease, whose number was given out again.
  Scenario: A daemon writes its own entry again
    Given a routed daemon "a" in "lagos"
    When the store is copied
    And a routed daemon "b" in "lagos" is started
    And the store is away for 0.5 s and comes back from the copy
    And a routed daemon "c" in "lagos" is started
    Then "b" is listed again within 12 s

  Scenario: Without a drill the store is read as a whole only at the start
    Given a routed daemon "a" in "lagos"
    When the operator writes 20 documents
    And "desk-2" starts in "lagos"
    And 3 s go by
    Then the store was read as a whole 1 time
