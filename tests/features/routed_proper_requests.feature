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
