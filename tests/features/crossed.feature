Feature: Answers that come late, twice or crossed reach only the request they belong to

  Scenario: A peer answers out of order, twice and late
    Given a link to a peer whose answers the test writes
    When two calls are made and answered in the other order
    Then each call has its own answer
    When a call is given up and its answer comes late, twice, before the next call's
    Then the next call has its own answer
