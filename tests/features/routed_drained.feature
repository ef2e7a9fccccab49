Feature: Failure domains that the operator drains get nothing new until they are taken back

  Scenario: The servers of a drained domain are listed as leaving, and live once it is taken back
    Given a directory of "lagos" with "one" and of "kano" with "two"
    When the operator drains "lagos"
    Then "one" is published as drained, and "two" as live
    When the operator drains nothing
    Then "one, two" are published as live

  Scenario: Two domains are drained at once
    Given a directory of "lagos" with "one" and of "kano" with "two"
    When the operator drains "lagos, kano"
    Then "one, two" are published as drained
    When the operator drains "kano"
    Then "two" is published as drained, and "one" as live

  Scenario: A server of a drained domain that leaves by itself is not live when that is taken back
    Given a directory of "lagos" with "one" and of "kano" with "two"
    When the operator drains "lagos"
    And "one" says that it leaves
    And the operator drains nothing
    Then "one" is published as leaving

  # Guards against requests to a drained domain, since the store has lost that it is drained.
  Scenario: A drained domain stays so while the store has come back from an older copy
    Given a directory of "lagos" with "one" and of "kano" with "two"
    When the operator drains "lagos"
    And the store comes back from an older copy, without the drain
    Then "one" is published as drained, and "two" as live
    When 3 s pass for the directory
    Then "one, two" are published as live

  Scenario: Another domain is drained while the store has come back without the first drain
    Given a directory of "lagos" with "one" and of "kano" with "two"
    When the operator drains "lagos"
    And the store comes back from an older copy, without the drain
    And the operator drains "kano"
    Then "one, two" are published as drained
    When the operator drains nothing
    Then "one" is published as drained, and "two" as live

  Scenario: A server of a drained domain that lapsed while the store was away keeps its place
    Given a directory of "lagos" with "one" and of "kano" with "two"
    When the operator drains "lagos"
    And the store is away for 8 s, and comes back without "one"
    Then "one" is published as drained, and "two" as live
    When 3 s pass for the directory
    Then "two" are published

  Scenario: A daemon that begins to follow the store while a domain is drained
    Given a directory that has read nothing
    When the whole store is read, with "one" in "lagos", while "lagos" is drained
    Then "one" are published as drained

  # Guards against a key that drains what nobody named, or hides one that does.
  Scenario: A key of an unknown domain drains nothing, and an odd value drains its domain
    Then keys of the domains "lagos, nowhere, ∅" with odd values drain "lagos" only

  Scenario: An unset field of a host is no difference to daemons that do not know it
    Then the hash of a host is that of daemons without drained domains, unless it is drained

  Scenario: Runs are moved off a drained engine without a deadline
    Given an engine of a drained domain, with runs "one, two, three" of 10000 tokens in its report
    And this daemon passes on "three" only
    And an engine "near" in its region
    When its runs are moved for 3 s
    Then "three" was copied to "near" after 1 s

  Scenario: A run is moved off a drained engine as soon as an engine has room
    Given an engine of a drained domain, with run "old" of 500 tokens in its report
    And an engine "far" in another region that has room after 0.5 s
    When its runs are moved for 2 s
    Then "old" was copied to "far" after 0.9 s

  # Guards against runs that leave an engine which serves again, those that have just come included.
  Scenario: No run is moved off an engine whose domain was taken back
    Given an engine of a drained domain, with runs "one, two" of 500 tokens in its report
    And an engine "far" in another region that has room after 1.5 s
    When its runs are moved for 3 s, and its domain is taken back after 0.5 s
    Then nothing was copied

  Scenario: A run is moved off a drained engine once another takes work, if none did at first
    Given an engine of a drained domain, with run "one" of 500 tokens in its report
    And an engine "near" in its region that takes work after 0.5 s
    When its runs are moved for 2 s
    Then "one" was copied to "near" after 0.5 s

  # Guards against a run that is lost by its move: its engine has stopped it, and gets nothing more.
  Scenario: A run whose last copy does not arrive continues at the one before
    Given an engine of a drained domain, with run "one" of 500 tokens in its report
    And an engine "near" in its region, to which last copies do not arrive
    When its runs are moved for 1 s
    Then run "one" continues at "near", from the copy "h1"

  Scenario: Nothing new goes to a drained domain, whichever daemon is asked
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And an engine "desk-2" of "desk" in "kano"
    And the store is reached by "b" through a proxy
    And routed daemons "a, b" in "lagos"
    And a routed daemon "c" in "kano"
    Then GET "/view/1" through "a" is answered 200 by "desk-1"
    When the proxy of "b" refuses everything
    And the operator writes that "lagos" is drained
    Then GET "/view/1" through "a" is soon answered 200 by "desk-2"
    And GET "/view/1" through "b" is soon answered 200 by "desk-2"
    And GET "/view/1" through "c" is soon answered 200 by "desk-2"
    And the metrics of "a" count 1 drained servers
    When all of "a, c" are killed and started again
    Then GET "/view/1" through "a" is soon answered 200 by "desk-2"
    And "desk-1" gets nothing for 1 s of calls through "a, b, c"
    When the operator writes that "lagos" is taken back
    Then GET "/view/1" through "a" is soon answered 200 by "desk-1"
    And GET "/view/1" through "b" is soon answered 200 by "desk-1"

  # Guards against a call that is sent again by the list of servers of when it began.
  Scenario: A call that waits for a silent server is not repeated in a domain drained meanwhile
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And an engine "desk-2" of "desk" in "kano"
    And a routed daemon "a" in "lagos"
    When "desk-1" is frozen
    And GET "/view/1" through "a" is begun, with 4 s left
    And the operator writes that "kano" is drained
    And "a" has learned of 1 drained servers
    Then the call fails, and "desk-2" has run nothing

  Scenario: The runs of a drained domain go on elsewhere
    Given a platform store with document 5
    And an engine "planner-1" of "planner" in "lagos"
    And a routed daemon "a" in "lagos"
    And an engine "planner-2" of "planner" in "kano" that is listed last
    When a plan of 400 events is streamed through "a"
    And the operator writes that "lagos" is drained
    Then the plan is whole
    And the run went on at "planner-2" where it had stopped at "planner-1"
    And no two engines worked on the run at once

  Scenario: A run that finds no room elsewhere ends where it is
    Given a platform store with document 5
    And an engine "planner-1" of "planner" in "lagos"
    And a routed daemon "a" in "lagos"
    When a plan of 200 events is streamed through "a"
    And the operator writes that "lagos" is drained
    And "a" has learned of 1 drained servers
    Then a second plan through "a" is answered 503 within 1 s, with a time to return
    And the plan is whole
    And the run was on "planner-1" only

  Scenario: A domain that is taken back at once is served again
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And a routed daemon "a" in "lagos"
    When the operator writes that "lagos" is drained
    And the operator writes that "lagos" is taken back
    Then GET "/view/1" through "a" is soon answered 200 by "desk-1"
    And GET "/view/1" through "a" stays answered 200 for 1 s
