Feature: The order of records in the log decides who may run a key

  Scenario Outline: The first record of an attempt is in force, whoever reads it
    # Two entries claim a key at once, or one comes late. Every process folds the same records
    # in the same order, so all agree on the one sidecar that may run the key.
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
