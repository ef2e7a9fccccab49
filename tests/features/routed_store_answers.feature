Feature: One odd item in an answer of the store costs nothing but itself

  # Guards against one item that costs whole pages and answers of watches, so that nothing of the
  # store is known any more: neither new settings, nor servers that leave.
  Scenario Outline: The store is followed though its answers hold <odd>
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And a routed daemon "a" in "lagos"
    When each answer of the store holds <item> besides
    And document 9 without route "view" is written
    Then GET "/view/1" through "a" is soon answered 404
    Given a routed daemon "b" in "lagos" that is not waited for
    Then "b" becomes ready
    And GET "/open/1" through "b" is answered 200 by "desk-1"
    And the log of "b" says of an item that "<field>" is to blame
    And no loop of "a, b" has failed

    Examples:
      | odd                         | item                                              | field    |
      | a row that is no object     | [7]                                               | an item  |
      | a key that is a number      | [{"Key": 7, "Value": "", "Revision": 1}]          | Key      |
      | a key of half a character   | [{"Key": "x\ud800", "Value": "", "Revision": 1}]  | Key      |
      | a value that is not base64  | [{"Key": "servers/x", "Value": "?", "Revision": 1}] | Value  |
      | a value that is an object   | [{"Key": "servers/x", "Value": {}, "Revision": 1}] | Value   |
      | a revision that is a flag   | [{"Key": "servers/x", "Value": "", "Revision": true}] | Revision |

  # Guards against reads that never end, and against what is read in part and taken for the whole.
  Scenario Outline: A range <pages> ends with an error after a few pages
    Given a store whose pages are <page>
    Then a range ends with an error after at most 2 calls

    Examples:
      | pages                              | page                                                                             |
      | that goes on after an empty page   | {"Items": [], "HasMore": true, "At": 5}                                          |
      | that repeats a page                | {"Items": [{"Key": "a", "Value": "", "Revision": 1}], "HasMore": true, "At": 5}  |
      | that goes on after an odd key      | {"Items": [{"Key": 7, "Value": "", "Revision": 1}], "HasMore": true, "At": 5}    |
      | without a revision                 | {"Items": [], "HasMore": false}                                                  |
      | of a revision that is a flag       | {"Items": [], "HasMore": false, "At": true}                                      |
      | of a revision beyond all bounds    | {"Items": [], "HasMore": false, "At": 99999999999999999999}                      |

  # Guards against a listing that ends at a page of which no key can be read.
  Scenario: A range goes on after a page of which no key can be read
    Given a store whose first page has only keys of half a character
    Then a range has the items of the second page

  # Guards against a watch without a pause, priced for each call, when the store answers at once.
  Scenario Outline: A watch whose answers <answers> is not repeated without a pause
    Given a store whose watches answer <answer>
    Then watching it for 1 s takes at most 6 calls

    Examples:
      | answers                     | answer                                                                |
      | hold no events              | {"events": [], "At": 5}                                               |
      | go back                     | {"events": [], "At": 3}                                               |
      | repeat an event             | {"events": [{"Key": "a", "Value": "", "Revision": 5}], "At": 5}       |
      | hold odd events only        | {"events": [7], "At": 5}                                              |

  # Guards against values that no list of ours has foreseen.
  Scenario: Whatever the store answers, it is items or an error of the store
    Then 1000 random answers of the store give items that can be logged, or an error of the store
    And of 300 random answers each sound item is read

  # Guards against a log and a loop that are flooded by what another writer left.
  Scenario: Ten thousand odd entries are read in a second and logged in a few lines
    Then 10000 odd entries are read within 1 s of processor time and logged in at most 25 lines
