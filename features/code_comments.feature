Feature: Comments on constants say what they are for
  How a value was found stands in docs/design and in the history; units stand in names.

  Scenario Outline: Constants of the product
    # Guards against comments that go stale with the next measurement.
    Given the constants of <folder>
    Then none of them <fault>

    Examples:
      | folder                | fault                             |
      | libs                  | has a figure in its comment       |
      | libs                  | tells how its value was found     |
      | libs                  | is a time without a unit          |
      | programs/oleanderdeal | has a figure in its comment       |
      | programs/oleanderdeal | tells how its value was found     |
      | programs/oleanderdeal | is a time without a unit          |
      | platform              | has a figure in its comment       |
      | platform              | tells how its value was found     |
      | platform              | is a time without a unit          |

  Scenario Outline: Each of these is found
    # Guards against a check that can't fail.
    Given the constant <name> with the comment <comment>
    Then one of them <fault>

    Examples:
      | name           | comment                                    | fault                         |
      | _WAVE_SECONDS  | The next wave follows after a load of 0.9 s | has a figure in its comment   |
      | _MOST_BYTES    | Some 400 KB                                | has a figure in its comment   |
      | _MOST_IDLE     | With 16, 80 of 400 were opened anew        | has a figure in its comment   |
      | _LOAD_SECONDS  | A first guess                              | tells how its value was found |
      | _PAUSE_SECONDS | Measured on a quiet day                    | tells how its value was found |
      | _RETRY_DELAY   | Between tries                              | is a time without a unit      |
      | _TIMEOUT       | Of a read                                  | is a time without a unit      |
