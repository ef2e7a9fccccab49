Feature: A daemon that begins to follow the store again takes over what has changed meanwhile

  # Guards against requests to a server that has gone, since the store is as the daemon that follows
  # had last published it itself.
  Scenario: A server that another daemon published and that has gone since is not sent to
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "kano"
    And routed daemons "b, a" in "lagos"
    And every daemon has had 3 s to follow the store in place of others
    And an engine "desk-2" of "desk" in "lagos"
    Then requests through each of "a, b" reach "desk-2"
    When daemon "a" is killed
    And the entry of "desk-2" is removed
    And every daemon has had 5 s to follow the store in place of others
    Then 8 calls of "/open/1" through "b" leave "desk-2" alone
