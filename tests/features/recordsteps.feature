Feature: A call that may not be repeated runs at most once, at whichever step its daemon fails

  Background:
    Given a platform with both teams' settings
    And a plain service "ledger-1" behind a proxy in domain "accra-1"
    And a daemon "a" with the platform behind a proxy in domain "accra-1"
    And daemons "b" in domain "accra-2" of region "accra"

  Scenario Outline: The daemon is <fault> while <step>
    Given calls are held while <step>
    When refund "r-1" is being posted through "a" and is held while <step>
    And the fault befalls daemon "a": <fault>
    And nothing is held any more
    And refund "r-1" is posted through "b"
    And daemon "a" is brought back
    And refund "r-1" is posted through "a"
    And refund "r-1" is posted through "b"
    Then refund "r-1" ran <runs>
    And every answer to "r-1" is true

    Examples:
      | fault  | step                       | runs         |
      | killed | the intent is written      | at most once |
      | killed | the intent is confirmed    | at most once |
      | killed | the call is on its way     | at most once |
      | killed | the answer is awaited      | once         |
      | killed | the outcome is written     | once         |
      | killed | the outcome is confirmed   | once         |
      | frozen | the intent is written      | at most once |
      | frozen | the intent is confirmed    | at most once |
      | frozen | the call is on its way     | at most once |
      | frozen | the answer is awaited      | once         |
      | frozen | the outcome is written     | once         |
      | frozen | the outcome is confirmed   | once         |
