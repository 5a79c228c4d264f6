Feature: Every sample names the weights that made it, whatever fails as they change
  The engine stand-in writes the version into each token, and the trainer stand-in compares this
  with the label. Two engines run designs; one is at fault, the other is sound.

  Scenario Outline: A fault at each step of an order to load
    # The trainer waits for a step while one of its engines changes weights and something fails.
    # The order is stopped on its way, the fault strikes, the step ends on the sound engine; the
    # fault is mended, the next version comes, and only then does the stopped order take effect.
    # Its number is older than that of the next version's order, which is why engines check it.
    Given designs on an engine that <kind> and on a sound one
    And that engine's next order to load will be stopped when <step>
    When trainer first starts a step with designs version 2
    And that engine's order for version 2 has come so far
    And <fault> as that engine's weights change
    Then trainer first has every sample of its step, truly labelled
    When that engine's later orders pass
    And the fault of that engine's weight change is mended
    And trainer second starts a step with designs version 3
    And that engine's order goes on
    Then trainer second has every sample of its step, truly labelled
    And both engines run designs version 3 and take work
    And no engine accepted an order older than one before it

    Examples:
      | step        | fault                 | kind              |
      | ordered     | its sidecar is killed | checks numbers    |
      | ordered     | its sidecar is frozen | ignores numbers   |
      | ordered     | the engine is killed  | checks numbers    |
      | ordered     | the engine is cut off | states no version |
      | ordered     | the log hangs         | ignores numbers   |
      | half loaded | its sidecar is killed | ignores numbers   |
      | half loaded | its sidecar is frozen | checks numbers    |
      | half loaded | the engine is killed  | states no version |
      | half loaded | the engine is cut off | checks numbers    |
      | half loaded | the log hangs         | states no version |
      | loaded      | its sidecar is killed | checks numbers    |
      | loaded      | its sidecar is frozen | states no version |
      | loaded      | the engine is killed  | ignores numbers   |
      | loaded      | the engine is cut off | ignores numbers   |
      | loaded      | the log hangs         | checks numbers    |
      | confirmed   | its sidecar is killed | states no version |
      | confirmed   | its sidecar is frozen | checks numbers    |
      | confirmed   | the engine is killed  | checks numbers    |
      | confirmed   | the engine is cut off | states no version |
      | confirmed   | the log hangs         | ignores numbers   |

  Scenario Outline: An order of a killed sidecar takes effect after its successor's
    # The trainer is in the middle of a step when an engine turns back to older weights. A sidecar
    # died with an order on its way; its successor loaded a newer version; then the old order comes.
    # Refused by number or not, no sample may be labelled with what ran before or after it.
    Given designs on an engine that <kind> and on a sound one
    And that engine's next order to load will be stopped when ordered
    When trainer first starts a step with designs version 2
    And that engine's order for version 2 has come so far
    And its sidecar is killed as that engine's weights change
    Then trainer first has every sample of its step, truly labelled
    When that engine's later orders pass
    And the fault of that engine's weight change is mended
    And trainer second starts a step with designs version 3
    Then trainer second has every sample of its step, truly labelled
    And both engines run designs version 3 and take work
    When trainer third starts a long step with designs version 3
    And that engine's order goes on
    Then that engine answered its late order for version 2 with <status>
    And trainer third has every sample of its step, truly labelled
    And both engines run designs version 3 and take work
    And no engine accepted an order older than one before it

    Examples:
      | kind                                  | status |
      | checks numbers                        | 409    |
      | states no version                     | 409    |
      | ignores numbers                       | 200    |
      | ignores numbers and states no version | 200    |
