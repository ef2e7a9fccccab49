Feature: The metrics page is whole, whatever text its labels are made of

  # Guards against a page that fails until the daemon is restarted since one label cannot be
  # encoded, and against labels as long as somebody else chooses.
  Scenario: Labels of odd text are shown
    Given the metrics of a daemon
    When requests, times and totals are counted under odd labels
    Then the page is read and has each of them, in at most 110 characters
    When requests, times and totals are counted under 300 random labels
    Then the page is read and has each of them, in at most 110 characters

  # Guards against a page that grows with every name that was ever seen.
  Scenario: The number of labels is bounded
    Given the metrics of a daemon
    When requests are counted under 10000 labels
    Then the page has at most 2001 counts of requests, and their sum is 10000
