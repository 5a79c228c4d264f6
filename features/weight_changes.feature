Feature: Samples are labelled with the weights that generated them despite faults during a change
  The engine stand-in writes its weight version into each token, and the trainer stand-in compares
  these versions with the label. Two engines run the model designs; only one of them has faults.

  Scenario Outline: A fault at each step of a load order
    # A load order is held back at one step, then a fault occurs, and the trainer's step completes on
    # the healthy engine. The fault is repaired and the next version is loaded; only then does the
    # held order take effect. Its fencing number is lower than that of the next version's order,
    # so an engine that checks fencing numbers refuses it.
    Given designs on an engine that <kind> and on a healthy one
    And that engine's next order to load will be stopped when <step>
    When trainer first starts a step with designs version 2
    And that engine's order for version 2 has reached that point
    And <fault> as that engine's weights change
    Then trainer first has every sample of its step, correctly labelled
    When later orders to that engine are let through
    And the fault of that engine's weight change is repaired
    And trainer second starts a step with designs version 3
    And that engine's order continues
    Then trainer second has every sample of its step, correctly labelled
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

  Scenario Outline: A killed sidecar's order arrives after its successor's order
    # A sidecar is killed with a load order on its way, its successor loads a newer version, and the
    # old order arrives in the middle of a trainer's step. Whether the engine refuses it or reverts to
    # older weights, no sample may be labelled with a version that did not generate it.
    Given designs on an engine that <kind> and on a healthy one
    And that engine's next order to load will be stopped when ordered
    When trainer first starts a step with designs version 2
    And that engine's order for version 2 has reached that point
    And its sidecar is killed as that engine's weights change
    Then trainer first has every sample of its step, correctly labelled
    When later orders to that engine are let through
    And the fault of that engine's weight change is repaired
    And trainer second starts a step with designs version 3
    Then trainer second has every sample of its step, correctly labelled
    And both engines run designs version 3 and take work
    When trainer third starts a long step with designs version 3
    And that engine's order continues
    Then that engine answered its late order for version 2 with <status>
    And trainer third has every sample of its step, correctly labelled
    And both engines run designs version 3 and take work
    And no engine accepted an order older than one before it

    Examples:
      | kind                                  | status |
      | checks numbers                        | 409    |
      | states no version                     | 409    |
      | ignores numbers                       | 200    |
      | ignores numbers and states no version | 200    |
