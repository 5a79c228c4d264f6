Feature: Claims of keys are decided by the order of their records in the log
  A record a1 is sidecar a's claim of the first attempt of the key, x1 a claim of another key.

  Scenario Outline: The first record of the newest attempt is in force in every process
    # Two entries may claim a key at once, or one late. Every process applies the same records in
    # the same order, so all agree on the one sidecar that may run the key.
    Given a table of claims with a window of 10 records
    When the claims table reads <records>
    Then the claims table has <in force> in force
    And a claims table that starts <skipped> records later agrees

    Examples:
      | records                      | in force | skipped |
      | a1                           | a1       | 0       |
      | a1 b1                        | a1       | 0       |
      | b1 a1                        | b1       | 0       |
      | a1 b2                        | b2       | 0       |
      | a1 b2 c2                     | b2       | 0       |
      | a1 b2 c3 d2 e1               | c3       | 0       |
      | a1 c3                        | a1       | 0       |
      | a1 b2 c2                     | b2       | 1       |
      | a1 x9 b1                     | a1       | 0       |
      | a1 x1 x1 x1 x1 x1 x1 x1 x1 x1 x1 x1 | nothing | 2  |
