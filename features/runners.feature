Feature: A sidecar passes on only tokens whose weights are known
  A label that can't be known is never guessed, and no token is passed on past one held back.

  Scenario Outline: Tokens with and without a stated version
    # An engine whose load failed midway runs on without a whole version: its tokens state none
    # until a load succeeds. Passing on the later, labelled ones while the first are held back
    # gave the trainer a sample whose text lacked its start (found by the soak, seed 1).
    Given a runner whose engine streams versions <versions>
    And the runner's engine says version <before> before and <after> after
    When the runner runs a generation
    Then the runner passed on versions <passed> and answered <answer>

    Examples:
      | versions  | before | after | passed | answer               |
      | 7 7 7     | 7      | 7     | 7 7 7  | done                 |
      | 7 7 8     | 7      | 8     | 7 7 8  | done                 |
      | - - -     | 7      | 7     | 7 7 7  | done                 |
      | - - -     | 7      | 8     | none   | failed label-unknown |
      | - - -     | 7      | -     | none   | failed label-unknown |
      | - - 7     | 7      | 7     | none   | failed label-unknown |
      | - 7 7     | 7      | 7     | none   | failed label-unknown |
      | 7 - 7     | 7      | 7     | 7      | failed label-unknown |
      | 7 7 -     | 7      | 7     | 7 7    | failed label-unknown |
      | 7 7 cut   | 7      | 7     | 7 7    | failed engine-failed |
      | - - cut   | 7      | 7     | none   | failed engine-failed |

  Scenario Outline: An order whose answer was lost may still take effect
    # An engine that ignores fencing numbers can carry out two lost orders in turn and so change
    # its weights there and back between two readings that agree. The trainer would get a label
    # that both readings state and that is wrong; until such orders have ended, none is assumed.
    Given a runner whose engine streams versions <versions>
    And the runner's engine <checks> numbers and loses the answer to an order
    When the runner runs a generation
    Then the runner passed on versions <passed> and answered <answer>
    And the runner's engine is then <usable> for new work

    Examples:
      | versions | checks  | passed | answer               | usable |
      | 7 7      | ignores | 7 7    | done                 | used   |
      | 7 7      | checks  | 7 7    | done                 | used   |
      | - -      | checks  | 7 7    | done                 | used   |
      | - -      | ignores | none   | failed label-unknown | unused |
