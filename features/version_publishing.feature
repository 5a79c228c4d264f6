Feature: A weight version is not said to be unpublished while it may be in force
  Versions of the same model, published by a trainer at an entry of the project's own platform.

  Scenario Outline: An entry that may have published a version does not refuse it later
    # Guards against "not run" for a version that comes into force: the append of the first attempt
    # was not answered, or another entry publishes the version meanwhile.
    Given an entry whose first attempt to publish version 2 <first>
    When the trainer repeats it, and the log refuses it while <meanwhile>
    Then the repeated version is <outcome>

    Examples:
      | first               | meanwhile                           | outcome   |
      | is refused          | nothing happens                     | not-run   |
      | is not answered     | nothing happens                     | unknown   |
      | is not read back    | nothing happens                     | unknown   |
      | is refused          | a record of another entry is read   | published |
      | is not answered     | a record of another entry is read   | published |
