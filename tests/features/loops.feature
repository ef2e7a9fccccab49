Feature: A loop that fails is started again

  # Guards against an error in a loop, whatever it comes from, that ends its work for good.
  Scenario: A loop that fails now and then goes on, and ends when it has ended
    Given a loop that fails 3 times
    When it is kept running until it ends
    Then it was started 4 times

  Scenario: A loop that is cancelled is not started again
    Given a loop that fails 0 times and never ends
    When it is kept running for 0.3 s
    Then it was started 1 time

  # Guards against a daemon that waits so long for a loop which lost its cancellation that it is
  # killed at the end of its grace.
  Scenario: A loop that loses a cancellation is soon cancelled again
    Given a loop that loses its first cancellation
    When it is cancelled as at the end of a routed daemon
    Then it has ended within 0.3 s

  Scenario: A daemon goes on following the store after an error
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And daemons in which "papayacourse.routed.storefollower:StoreFollower._apply" fails once
    And a routed daemon "a" in "lagos"
    When document 9 without route "view" is written
    Then GET "/view/1" through "a" is soon answered 404
    And the log of "a" names the loop that failed as "StoreFollower.follow"

  Scenario: A scheduler goes on after an error
    Given a platform store with document 5
    And an engine "planner-1" of "planner" in "lagos"
    And daemons in which "papayacourse.scheduler:Scheduler.expire" fails once
    And a routed daemon "a" in "lagos"
    When a plan of 300 events is streamed through "a"
    Then the log of "a" names the loop that failed as "Scheduler.run"
    And the load of "planner-1" goes on being read
