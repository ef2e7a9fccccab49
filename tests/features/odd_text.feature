Feature: Text of other programs that cannot be encoded harms nobody

  # Guards against text that fails wherever it is hashed, logged or sent, long after it was read.
  Scenario: Whatever JSON holds, its values can be encoded again or it is refused
    Then 1000 random JSON texts are refused or parsed into values that can be logged and sent
    And 1000 random JSON texts are refused or parsed exactly

  # Guards against services and routes of the settings document that cannot be looked up or logged:
  # of their requests no line was written.
  Scenario: A route and a service that are named by half a character are served and logged
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And routed daemons "a, b" in "lagos"
    When the operator adds a route and a service that are named by half a character
    And an engine "half-1" of that service is listed in "lagos"
    Then GET "/half/1" through "a" is soon answered 200 by "half-1"
    And GET "/half/2" through "b" is soon answered 200 by "half-1"
    And each answered request of "a, b" has its line in the log
    And no loop of "a, b" has failed
