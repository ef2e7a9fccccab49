Feature: Entries of another writer that cannot be read keep nobody from following the store

  # Guards against one entry that ends the following of the store on every daemon, for good: the
  # old settings stay in force, and daemons that are started again never become ready.
  Scenario Outline: The store is followed beside an entry under <prefix> that is <odd>
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And routed daemons "a, b" in "lagos"
    When another writer leaves an entry under "<prefix>" that is "<odd>"
    And document 9 without route "view" is written
    Then GET "/view/1" through "a" is soon answered 404
    And GET "/view/1" through "b" is soon answered 404
    When routed daemon "b" is killed and started again
    Then "b" becomes ready
    And GET "/open/1" through "b" is answered 200 by "desk-1"

    Examples:
      | prefix                   | odd               |
      | servers/                 | nested too deeply |
      | papayacourse/daemons/    | nested too deeply |
      | papayacourse/strikes/    | nested too deeply |
