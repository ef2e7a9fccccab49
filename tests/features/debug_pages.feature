Feature: Commands refuse odd pages in a line

  # Guards against a traceback, and against a rollout that is never reported, for one odd answer.
  Scenario: A daemon that answers odd pages is an error of one line, and lags
    Then each odd page is refused by "status" in a line
    And a daemon with an odd page counts as lagging
