Feature: What other programs write to the platform is refused piece by piece

  # Guards against an answer of the key-value service that ends a loop by an error that nobody expects.
  Scenario: Any answer of the key-value service is decoded or refused
    Then 800 random answers of the key-value service are decoded or refused with ValueError
    And a value that is no text is an entry of its JSON

  # Guards against one team's entry that costs the other teams their settings.
  Scenario: Odd entries of one team leave the settings of another in force
    Then each odd entry of "odd" leaves the settings of "sound" in force
    And 500 random entries of "odd" leave the settings of "sound" in force
    And 300 random histories are decoded
    And a history with an odd revision restores the sound one

  # Guards against a number that is accepted and fails in the arithmetic of a loop.
  Scenario: Numbers beyond all bounds are faults of their setting
    Then each number of each kind of path is refused as "BIG", "-BIG", "1e300", "inf" and "nan"
    And each number of each kind of path is accepted as its default
