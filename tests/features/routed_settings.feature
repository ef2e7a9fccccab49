Feature: Daemons go by the newest settings document and list of servers that they can learn of

  Scenario: Without a document a daemon is not ready and refuses with 503
    Given a platform store without a document
    And a routed daemon "a" in "lagos" that is not waited for
    Then "a" is not ready, and GET "/view/1" through it is answered 503
    When document 5 is written
    Then "a" becomes ready

  Scenario: A newer document is in force at once, and an older one never again
    Given a platform store with document 5
    And a routed daemon "a" in "lagos"
    When document 7 without route "view" is written
    Then GET "/view/1" through "a" is soon answered 404
    When document 6 is written
    Then GET "/view/1" through "a" stays answered 404 for 1 s

  Scenario: A daemon that the store turns away learns a newer document from its peers
    Given a platform store with document 5
    And the store is reached by "b" through a proxy
    And routed daemons "a, b" in "lagos"
    When the proxy of "b" refuses everything
    And document 8 without route "view" is written
    Then GET "/view/1" through "b" is soon answered 404
    And the log of "b" says that document 8 came from a peer

  Scenario: Whichever daemon of a domain stands still, the others soon have a newer document
    Given a platform store with document 5
    And routed daemons "a, b, c" in "lagos"
    When routed daemon "a" stands still
    And document 8 without route "view" is written
    Then GET "/view/1" through "b" is answered 404 within 2.5 s
    And GET "/view/1" through "c" is answered 404 within 2.5 s
    When "b" stands still in place of "a"
    And document 9 is written
    Then GET "/view/1" through "a" is answered 503 within 2.5 s
    And GET "/view/1" through "c" is answered 503 within 2.5 s
    When "c" stands still in place of "b"
    And document 10 without route "view" is written
    Then GET "/view/1" through "a" is answered 404 within 2.5 s
    And GET "/view/1" through "b" is answered 404 within 2.5 s

  Scenario: Changes made while watches hear nothing are found once history is forgotten
    Given a platform store with document 5
    And a routed daemon "a" in "lagos"
    When the store's watches go deaf
    And document 9 without route "view" is written
    And the store forgets its history and hears again
    Then GET "/view/1" through "a" is soon answered 404

  Scenario: Entries that cannot be read name no server, and the others hold
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And entries that cannot be read
    And a routed daemon "a" in "lagos"
    Then GET "/view/1" through "a" is answered 200 by "desk-1"

  Scenario: A server that leaves gets no new work
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And an engine "desk-2" of "desk" in "kano"
    And a routed daemon "a" in "lagos"
    When "desk-1" is listed as "draining"
    Then GET "/view/1" through "a" is soon answered 200 by "desk-2"

  Scenario: A changed configuration file is taken with a signal and without
    Given a platform store with document 5
    And a routed daemon "a" in "lagos"
    When the configuration file of "a" changes
    Then the log of "a" has a line "configuration reloaded" because of "file changed"
    When "a" gets SIGHUP
    Then the log of "a" has a line "configuration reloaded" because of "signal"

  # Guards against an invalid file that is refused, and logged, again each second.
  Scenario: An invalid configuration file is refused once, and a valid one that follows is taken
    Given a platform store with document 5
    And a routed daemon "a" in "lagos"
    When the configuration file of "a" becomes invalid
    And 3 seconds pass
    Then the log of "a" has 1 line "configuration refused"
    When the configuration file of "a" is valid again, with a change
    Then the log of "a" has a line "configuration reloaded" because of "file changed"

  # Guards against a daemon that ends because its settings change while it starts.
  Scenario: A daemon that gets SIGHUP while it starts goes on starting
    Given a platform store with document 5
    When routed daemon "a" in "lagos" gets SIGHUP again and again while it starts
    Then the process of "a" has not ended
    And "a" becomes ready

  # Guards against a change that is never noticed because it fell between two readings of the file.
  Scenario: A configuration file that changes while it is parsed counts as changed
    Given a platform store with document 5
    And a routed daemon "a" in "lagos"
    Then the configuration file of "a", changed while it is parsed, counts as changed afterwards

  Scenario: A stop turns not ready at once, finishes what runs and says so
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And a routed daemon "a" in "lagos"
    When "desk-1" takes 2 s for each call
    And a caller asks for "/view/1" through "a"
    And routed daemon "a" is asked to stop
    Then "a" is not ready within 0.5 s
    And the caller is answered 200
    And routed daemon "a" exits with status 0

  Scenario: Python's own module "platform" is found beside the folder of that name
    Then "import platform" in the daemon's program gives Python's own module

  # Guards against a daemon that runs an earlier version which is installed on its host, in place of the one that was built.
  Scenario: An installed package of another version is not run in place of the one beside the program
    Given a folder of installed packages with another papayacourse
    Then the daemon's program loads the papayacourse beside it

  # Guards against a daemon that can't start, since its libraries came with a folder from another machine.
  Scenario Outline: Libraries that were installed for <what> are installed <again>
    Given libraries that the build has installed for <what>
    Then the build installs them <again>

    Examples:
      | what                    | again    |
      | this machine            | not anew |
      | another kind of machine | anew     |
      | another Python          | anew     |
      | other requirements      | anew     |
      | nobody knows what       | anew     |

  Scenario: A configuration file with faults is refused, and each is named
    Given a routed configuration file that lacks the store and has an unknown option
    Then "papayacourse check --routed" names both
