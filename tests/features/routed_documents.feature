Feature: A settings document that is malformed is refused as a whole; the one in force stays

  # Guards against values of a wrong type that are taken and fail in the requests of callers.
  Scenario: Malformed documents are refused by the name of their field, and a sound one follows
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And a routed daemon "a" in "lagos"
    When documents that are malformed are written, GET "/view/1" through "a" stays answered 200
      | path                          | value                                        |
      | Version                       | true                                         |
      | Version                       | "7"                                          |
      | Version                       | 7.5                                          |
      | Version                       | 1e400                                        |
      | Routes                        | {}                                           |
      | Routes[1].Name                | ["view"]                                     |
      | Routes[1].Host                | 7                                            |
      | Routes[1].Prefix              | null                                         |
      | Routes[1].Kind                | {}                                           |
      | Routes[1].Service             | ["desk"]                                     |
      | Routes[1].TimeoutMs           | -1                                           |
      | Routes[1].TimeoutMs           | "20000"                                      |
      | Routes[1].TargetLatencyMs     | true                                         |
      | Routes[1].MaxAttempts         | 1.5                                          |
      | Routes[1].AllowAnonymous      | "no"                                         |
      | Routes[1].TrafficSplit        | [{"Service": "desk", "Weight": -1}]          |
      | Routes[1].TrafficSplit        | [{"Service": "desk", "Weight": 0}, {"Service": "x", "Weight": 0}] |
      | Routes[1].TrafficSplit        | [{"Service": "desk", "Weight": "1"}]         |
      | Routes[1].TrafficSplit        | "desk"                                       |
      | Services                      | ["desk"]                                     |
      | Services[0].Name              | []                                           |
      | Services[0].Engine            | [1]                                          |
      | Services[0].Engine.Slots      | "many"                                       |
      | Services[0].Engine.Stride     | -1                                           |
      | Services[0].Engine.LinkMbps   | "fast"                                       |
      | Tenants                       | {"Name": "x"}                                |
      | Tenants[0].Name               | 7                                            |
      | Tenants[0].ApiKeys            | "one-key"                                    |
      | Tenants[0].ApiKeys            | [["key"]]                                    |
      | Limits                        | [1]                                          |
      | Limits.MaxHeaderBytes         | 0                                            |
      | Limits.IdleTimeoutMs          | 0                                            |
    Then the log of "a" names the field of each of them
    When document 900 without route "view" is written
    Then GET "/view/1" through "a" is soon answered 404

  # Guards against a sound document that is refused for something that the operator may write.
  Scenario: Documents with unusual values that are sound are taken
    Then documents with these values are taken
      | path                          | value                                        |
      | Version                       | 7.0                                          |
      | Routes                        | []                                           |
      | Routes[1].Kind                | "another"                                    |
      | Routes[1].Other               | [{"a": [null]}]                              |
      | Routes[1].Other               | {"a": 1e400}                                 |
      | Routes[1].Service             | "not-in-services"                            |
      | Routes[1].TimeoutMs           | 0.5                                          |
      | Routes[1].TimeoutMs           | 9223372036854775807                          |
      | Routes[1].TargetGapMs         | null                                         |
      | Routes[1].TrafficSplit        | null                                         |
      | Routes[1].TrafficSplit        | [{"Service": "desk", "Weight": 0}, {"Service": "x", "Weight": 0.001}] |
      | Routes[1].AllowAnonymous      | null                                         |
      | Services[0].Engine            | null                                         |
      | Services[0].Engine.Stride     | 0                                            |
      | Services[0].Engine.LinkMbps   | 1e-300                                       |
      | Tenants                       | null                                         |
      | Tenants[0].ApiKeys            | null                                         |
      | Tenants[0].Priority           | 0                                            |
      | Limits                        | null                                         |
      | Limits                        | {"Other": 1}                                 |
    And a document that begins with a byte order mark is taken

  # Guards against values that no list of ours has foreseen.
  Scenario: Whatever a document holds, requests can be routed by it or it is refused
    Then 1000 random documents are refused, or requests on their routes can be routed and logged

  # Guards against a capacity that is taken and that the scheduler cannot compute with.
  Scenario Outline: Generations are served by a document whose <field> is the largest number
    Given a platform store with document 5
    And an engine "planner-1" of "planner" in "lagos"
    And a routed daemon "a" in "lagos"
    When a document whose "<field>" is the largest number comes into force on "a"
    Then POST "/plans/1" of 5 tokens through "a" is answered 200

    Examples:
      | field                             |
      | Services[0].Engine.KvCacheTokens  |
      | Services[0].Engine.Slots          |
      | Services[0].Engine.KvTokenBytes   |
      | Services[0].Engine.Stride         |
      | Routes[0].TimeoutMs               |
      | Routes[0].TargetLatencyMs         |
      | Routes[0].TargetGapMs             |
      | Routes[0].Priority                |
      | Routes[0].MaxAttempts             |
