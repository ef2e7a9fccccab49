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

  Scenario: Two daemons of a domain follow the store, and another one when it hears of none
    Given a domain of 5 daemons that hear each other
    Then 2 of them follow the store
    When 1 s passes without a word of these
    Then 2 of them follow the store
    When 2 s pass without a word of these
    Then 5 of them follow the store
