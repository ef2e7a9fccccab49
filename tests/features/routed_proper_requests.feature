Feature: Requests that every document in force allows are not turned away

  # Guards against spellings beyond those of a table: documents and requests drawn at random, the same each time.
  Scenario: 400 requests, drawn with their documents, name the route that they name by the letter
    Then 400 drawn requests in equivalent spellings find their routes, and are sent on as written

  # Guards against documents in any order, twice, or of one version with other content (incident DENIED).
  Scenario: Whatever documents come in whatever order, what all of them allow is admitted
    Then 200 drawn sequences of documents admit what all allow, and the newest decides the rest

  # Guards against refusals around changes of the document, a kill and reloads of the settings file.
  Scenario: Four daemons under many documents turn away nothing that all documents allow
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And an engine "desk-2" of "desk" in "kano"
    And routed daemons "a, b" in "lagos"
    And routed daemons "c, d" in "kano"
    When for 12 s documents change 10 times a second, "d" is killed and started, and "a, b, c" get SIGHUPs
    Then callers on kept and new connections to "a, b, c, d" had no 3xx or 4xx for what all documents allow
    And the newest document is soon in force on "a, b, c, d", and its new route is served there

  # Guards against forms that only the daemon which took the request understands.
  Scenario: Every form is served through a daemon that relays, too
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And an engine "desk-2" of "desk" in "lagos"
    And daemons "a" in "lagos" and "m" in "kano" that can be cut off from servers
    When daemons "a" are cut off from all servers, with connections refused
    Then each form of a proper request through "a" is answered 200 by way of "m"

  # Guards against refusals that callers take for the daemon's, and that no line tells from it.
  Scenario: A server's own 404 without its proof is passed on, and has a line
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And a routed daemon "a" in "lagos"
    When "desk-1" answers all with a 404 that is not signed
    Then GET "/view/1" through "a" is answered 404
    And the log of "a" names "desk-1" and 404 in a line "answer without proof"
