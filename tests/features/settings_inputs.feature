Feature: What other programs write to the platform is refused piece by piece

  # Guards against one team's entry that costs the other teams their settings.
  Scenario: Odd entries of one team leave the settings of another in force
    Then each odd entry of "odd" leaves the settings of "sound" in force
    And 500 random entries of "odd" leave the settings of "sound" in force
    And 300 random histories are decoded
