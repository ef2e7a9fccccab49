Feature: Records that other programs wrote stop no call for good

  # Guards against a record that another program wrote and that ends the writing of its bucket, with
  # all calls that wait for it.
  Scenario: A segment of records that cannot be read is refused as not available
    Then 500 random segments are read as they were written or refused as not available
    And odd segments are refused as not available
    And a bucket whose sealed segment becomes odd answers each call that waits
