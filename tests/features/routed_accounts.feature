Feature: An engine sees the name of the account that holds the key, or no request

  # Guards against a request that fails with 500, or reaches an engine under another name, because
  # the name of its account cannot be sent in a header as it is.
  Scenario: Accounts are named exactly, or their requests are refused before anything is sent
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And a routed daemon "a" in "lagos"
    When the operator adds accounts of these names
      | name               |
      | "\ud800"           |
      | "\\ud800"          |
      | "\u5317\u4eac"     |
      | "caf\u00e9"        |
      | "two words"        |
      | "a\r\nX-Hold: 1"   |
      | "a\nb"             |
      | "a\u0000b"         |
      | "a\u007fb"         |
      | "a\tb"             |
      | " a"               |
      | "a "               |
      | ""                 |
    Then requests of the accounts through "a" are answered so
      | name               | answer |
      | "\ud800"           | 503    |
      | "\\ud800"          | 200    |
      | "\u5317\u4eac"     | 200    |
      | "caf\u00e9"        | 200    |
      | "two words"        | 200    |
      | "a\r\nX-Hold: 1"   | 503    |
      | "a\nb"             | 503    |
      | "a\u0000b"         | 503    |
      | "a\u007fb"         | 503    |
      | "a\tb"             | 503    |
      | " a"               | 503    |
      | "a "               | 503    |
      | ""                 | 503    |
    And each run on "desk-1" names the account that asked
    And the log of "a" has a line "request ended" for each refused request, with reason "account_name"
    And the log of "a" names the accounts that are refused
    And GET "/view/1" through "a" is answered 200 by "desk-1"

  # Guards against a caller who is let in by the escape of a key that no caller can send, and one
  # who is refused with a key that is not ASCII.
  Scenario: Only the keys of accounts open their routes, and each key that can be sent does
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And a routed daemon "a" in "lagos"
    When the operator adds an account "guests" with the keys
      | key                    |
      | "half-\ud800"          |
      | "\u043a\u043b\u044e\u0447" |
      | "caf\u00e9"            |
      | "plain-key"            |
      | " blank "              |
    Then requests with these bytes as their key are answered so
      | bytes               | answer |
      | half-\ud800         | 401    |
      | ключ                | 200    |
      | café                | 200    |
      | plain-key           | 200    |
      | blank               | 401    |
      | other               | 401    |
    And the log of "a" counts 2 keys of "guests" that no header can carry
