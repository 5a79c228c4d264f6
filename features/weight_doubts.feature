Feature: Samples are labelled with the weights that generated them while versions are unknown
  The engine stand-in writes its weight version into each token, and the trainer stand-in compares
  these versions with the label. Two engines run the model designs; only one of them has faults.

  Scenario Outline: Weights change in the middle of a generation
    # A load ends during a generation, so the text starts with one version and ends with the next, or
    # with none if the load failed. If the engine marks its tokens, the label names both versions. If
    # it does not, or has no complete weights, that part is generated again.
    Given designs on an engine that <kind> and on a healthy one
    And that engine's next order to load will be stopped when half loaded
    And that engine's generations pause after 6 tokens
    And that engine's next load <ends>
    When callers ask for 6 drafts of designs
    And that engine's generations have paused
    And trainer first starts a step with designs version 2
    And that engine's order for version 2 has reached that point
    And that engine's order continues
    And that engine's load for version 2 has ended with <status>
    And that engine's generations no longer pause
    Then trainer first has every sample of its step, correctly labelled
    And each draft of designs is complete and correctly labelled
    And that engine made a generation with versions <made>
    And both engines run designs version 2 and take work

    Examples:
      | kind                                  | ends              | status | made   |
      | checks numbers                        | succeeds          | 200    | 1 2    |
      | ignores numbers                       | loses its answer  | 200    | 1 2    |
      | states no version                     | succeeds          | 200    | 1 2    |
      | ignores numbers and states no version | loses its answer  | 200    | 1 2    |
      | checks numbers                        | fails midway      | 500    | 1 none |
      | states no version                     | fails midway      | 500    | 1 none |

  Scenario Outline: A load fails or has an unknown outcome
    # The trainer continues while an engine's version is unknown, because a load failed midway, its
    # answer was lost, or its order takes effect after the next one. The sidecar reads the version
    # before it uses the engine again, and sends a new order.
    Given designs on an engine that <kind> and on a healthy one
    And that engine's next load <ends>
    When trainer first starts a step with designs version 2
    Then that engine's order for version 2 was in doubt
    And trainer first has every sample of its step, correctly labelled
    When later orders to that engine are let through
    And trainer second starts a step with designs version 3
    Then trainer second has every sample of its step, correctly labelled
    And both engines run designs version 3 and take work
    When trainer third starts a long step with designs version 3
    And that engine's order continues
    Then trainer third has every sample of its step, correctly labelled
    And both engines run designs version 3 and take work
    And no engine accepted an order older than one before it

    Examples:
      | kind                                  | ends                |
      | checks numbers                        | fails midway        |
      | ignores numbers and states no version | fails midway        |
      | ignores numbers                       | loses its answer    |
      | states no version                     | loses its answer    |
      | checks numbers                        | is ordered too late |
      | ignores numbers                       | is ordered too late |
      | ignores numbers and states no version | is ordered too late |

  Scenario Outline: An engine of unknown version gets no work until the version was read
    # All samples come from the healthy engine. The other one has incomplete weights, or its version
    # can't be read; work sent there would be discarded or labelled with a guess.
    Given designs on an engine that <kind> and on a healthy one
    And that engine's <doubt>
    When trainer first starts a step with designs version 2
    Then trainer first has every sample of its step, correctly labelled
    And the entries use one engine for designs
    When trainer second starts a step with designs version 3
    Then trainer second has every sample of its step, correctly labelled
    And that engine was given no work since
    When that engine's order continues
    Then both engines run designs version 3 and take work

    Examples:
      | kind              | doubt                       |
      | checks numbers    | loads all fail midway       |
      | states no version | loads all fail midway       |
      | checks numbers    | version can't be read       |

  Scenario Outline: The weight store is down or too slow
    # The trainer's step completes although no engine can load its version: the engines continue with
    # the previous one, which the staleness bound allows, and load once the store has recovered.
    Given designs on an engine that <kind> and on a healthy one
    And the weight store's <setting> is <value>
    When trainer first starts a step with designs version 2
    Then trainer first has every sample of its step, correctly labelled
    And orders to <count> engines for version 2 were <outcome>
    When trainer second starts a step with designs version 3
    Then trainer second has every sample of its step, correctly labelled
    When the weight store's <setting> is <mended>
    Then both engines run designs version 3 and take work

    Examples:
      | kind              | setting          | value  | count | outcome  | mended |
      | checks numbers    | outage           | refuse | 2     | refused  | none   |
      | ignores numbers   | outage           | hang   | 2     | in doubt | none   |
      | states no version | slow_ms          | 2500   | 2     | in doubt | 0      |
      | checks numbers    | reads_per_second | 1      | 1     | refused  | 1      |

  Scenario: Tokens that arrive late are not labelled with a version read later
    # Guards against a wrong label: an engine that does not mark its tokens generates a sample with
    # one version, and its answer is delayed until the next version is loaded and confirmed. Version
    # reads at the start and at the end of the delayed answer would both return the new version.
    Given designs on an engine that states no version and on a healthy one
    And that engine's next order to load will be stopped when half loaded
    And that engine's answers to generations are held
    When trainer first starts a step with designs version 2
    And that engine's order for version 2 has reached that point
    And that engine has finished a generation
    And only that engine's load continues
    Then that engine's order for version 2 was loaded
    When that engine's order continues
    Then trainer first has every sample of its step, correctly labelled

  Scenario: Versions are published faster than an engine loads them
    # Guards against an engine that falls behind by loading every version, and against stale samples.
    Given designs on an engine that checks numbers and on a healthy one
    And that engine's next order to load will be stopped when half loaded
    When trainer first takes 8 short steps from designs version 2
    And that engine's order for version 2 has reached that point
    Then trainer first has every sample of its step, correctly labelled
    When only that engine's load continues
    Then both engines run designs version 9 and take work
    And that engine was ordered fewer than 4 loads
    And no engine accepted an order older than one before it

  Scenario: A sidecar that is cut off from the log learns of a version through an entry
    # The version's record is in the log, which the sidecar can't reach; an entry forwards it.
    Given designs on an engine that checks numbers and on a healthy one
    And that engine's sidecar is cut off from the log
    When trainer first starts a step with designs version 2
    Then trainer first has every sample of its step, correctly labelled
    And both engines run designs version 2 and take work
