Feature: Daemons learn who is there, and who follows the store

  Scenario: A daemon that was told long ago that another takes no duties believes its gateways
    Given a member of another domain that said it takes no duties 5 s ago
    When that domain's gateways say that it serves
    Then it is counted among the domain's daemons

  Scenario: A daemon that tells its loads is believed to take duties at once
    Given a member of another domain that said it takes no duties 0.5 s ago
    When it sends its domain's summary, in which it serves
    Then it is counted among the domain's daemons
    When it sends its domain's summary, in which nobody serves
    Then it is not counted among the domain's daemons

  Scenario: Domains whose daemons all said at their start that they take no duties find each other
    Given two domains whose daemons have heard each other say that they take no duties yet
    Then each keeps a link to the other
    When they know enough to take duties
    Then each is told so by the other within 2 s

  Scenario: A daemon does not become its own member
    When a daemon meets itself through a seed
    Then it has no members

  Scenario: One daemon of a domain follows the store, and others when they hear of none
    Given a domain of 5 daemons that hear each other
    Then 1 of them follows the store
    When 1 s passes without a word of it
    Then 1 of them follows the store
    When 0.5 s pass without a word of it
    Then 2 of them follow the store
    When 0.5 s pass without a word of it
    Then 5 of them follow the store

  Scenario: Daemons that all followed the store leave it to the first among those that reach it
    Given a domain of 5 daemons that hear each other
    When 2 s pass without a word of it
    And the three that rank last say that they follow the store
    Then the first two and the best of these follow the store
    When the first says that it follows the store
    Then 1 of them follows the store

  Scenario: A list that a follower tells of is had without a question
    Given a daemon whose list is at version 4
    When a follower tells that "desk-1" has been listed since version 4
    Then "desk-1" is listed there, and nothing was asked
