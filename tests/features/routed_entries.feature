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
    And the log of "a, b" says of that entry that "<field>" is to blame
    When routed daemon "b" is killed and started again
    Then "b" becomes ready
    And GET "/open/1" through "b" is answered 200 by "desk-1"
    And no loop of "a, b" has failed

    Examples:
      | prefix                 | odd                                        | field               |
      | servers/               | nested too deeply                          | nested too deeply   |
      | papayacourse/daemons/  | nested too deeply                          | nested too deeply   |
      | papayacourse/strikes/  | nested too deeply                          | nested too deeply   |
      | servers/               | at a port out of range                     | Address             |
      | servers/               | at a name as long as a body                | Address             |
      | servers/               | at an address that is no IP                | Address             |
      | servers/               | of slots beyond all numbers                | Slots               |
      | servers/               | of a service that is half a character      | nothing             |
      | servers/               | of a service as long as a body             | Service             |
      | servers/               | of a zone with a line end                  | Zone                |
      | servers/               | born beyond all numbers                    | born                |
      | papayacourse/daemons/  | a daemon at a port out of range            | mesh                |
      | papayacourse/daemons/  | a daemon of a zone that is half a character | nothing             |
      | papayacourse/strikes/  | a strike without an end                    | expires is inf      |
      | papayacourse/strikes/  | a strike beyond all numbers                | expires             |

  # Guards against an id that breaks the requests in which it is sent, in a header.
  Scenario: An entry whose id cannot be sent in a header names no server
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And routed daemons "a" in "lagos"
    When another writer lists the address of "desk-1" under an id with a line end
    Then 12 calls of "/view/1" through "a" are all answered 200 by "desk-1"

  # Guards against values that no list of ours has foreseen.
  Scenario: Whatever an entry holds, it names a server that can be used or none
    Then 3000 random entries each name a server that can be sent to daemons, or none

  # Guards against values and keys that no list of ours has foreseen.
  Scenario: Whatever daemons' entries and strikes hold, they can be used, sent and logged, or not read
    Then 500 random daemons' entries and strikes are of use or are logged as not readable

  # Guards against strikes of ours that are not read back.
  Scenario: The strikes of a prompt of many parts are read back from the store
    Then the strike of a prompt of 32 parts is read back as it was written

  # Guards against strikes that the store refuses, for a key of more bytes than it takes.
  Scenario Outline: The key of a strike has a length that the store takes, whatever its prompt's parts
    Then the key of a strike of a prompt of <parts> parts has at most 200 bytes
    And the strike of a prompt of <parts> parts is read back as it was written

    Examples:
      | parts |
      | 1     |
      | 8     |
      | 9     |
      | 32    |

  # Guards against strikes of the landing before being forgotten by an upgrade.
  Scenario: A strike whose fingerprint stands in its key alone is read
    Then a strike without a fingerprint under the key "papayacourse/strikes/parts:a,b/c" is one of "parts:a,b"

  # Guards against a write that the store refuses being tried without end, and other strikes waiting for it.
  Scenario: Strikes that the store refuses for good are tried once; others are stored
    Given a store that answers writes of strikes of "first" with 400
    When the strikes of "first" and then those of "second" are to be stored
    Then within 2 s the store has been asked 1 time for "first" and 1 time for "second"
    And the log says once that the strikes of "first" were refused
    When the strikes of "first" are to be stored again
    Then within 2 s the store has been asked 1 time for "first" and 1 time for "second"

  # Guards against strikes that are given up because the store was away or busy for a moment.
  Scenario: Strikes that the store may take later are tried again
    Given a store that answers writes of strikes of "first" with 503
    When the strikes of "first" and then those of "second" are to be stored
    Then within 3 s the store has been asked more than once for "first" and 1 time for "second"

  # Guards against strikes that stay in the store and condemn a request again, though it was absolved.
  Scenario: Stored strikes of an absolved request are removed, also where the store has refused others of it
    Given a store that has two strikes of "first" and refuses further ones for good
    When two more strikes of "first" are to be stored, and then "first" is absolved
    Then all strikes of "first" that the store had are removed
