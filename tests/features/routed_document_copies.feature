Feature: A bad copy of the settings document from one daemon keeps nobody from a good one

  # Guards against a copy that ends the asking of other daemons, or costs more memory than a document
  # may have.
  Scenario: Whatever copies daemons send, the newest sound one comes into force
    Given a daemon with document 5 whose peers announce newer ones
    When its peers send these copies
      | peer  | announces | sends                        |
      | zlib  | 90        | bytes that are no zlib       |
      | half  | 80        | half of a copy               |
      | bomb  | 70        | a gigabyte in a few bytes    |
      | deep  | 60        | a copy that is nested deeply |
      | odd   | 50        | a malformed document         |
      | none  | 40        | nothing                      |
      | old   | 30        | document 4                   |
      | lost  | 25        | no answer                    |
      | other | 20        | document 15                  |
      | sound | 19        | document 19                  |
    Then document 19 is in force there, and each peer was asked once
    And each copy that cannot be read is logged with its peer
