Feature: Every sample names the weights that made it, also while they are in doubt
  The engine stand-in writes the version into each token, and the trainer stand-in compares this
  with the label. Two engines run designs; one is at fault, the other is sound.

  Scenario Outline: Weights change in the middle of a generation
    # Callers and the trainer get texts that were begun with one version and ended with the next, or
    # with none, as a load ended while they were made. Where the engine says which token is whose,
    # they are labelled so; where it does not, or has no whole weights, that part is made again.
    Given designs on an engine that <kind> and on a sound one
    And that engine's next order to load will be stopped when half loaded
    And that engine's generations pause after 6 tokens
    And that engine's next load <ends>
    When callers ask for 6 drafts of designs
    And that engine's generations have paused
    And trainer first starts a step with designs version 2
    And that engine's order for version 2 has come so far
    And that engine's order goes on
    And that engine's load for version 2 has ended with <status>
    And that engine's generations no longer pause
    Then trainer first has every sample of its step, truly labelled
    And each draft of designs is whole and truly labelled
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

  Scenario Outline: A load fails, or nobody knows whether it did
    # The trainer goes on while an engine is in doubt: its load failed midway, its answer was lost,
    # or its order takes effect after the next one. The sidecar reads the version before it uses
    # the engine again, and orders anew.
    Given designs on an engine that <kind> and on a sound one
    And that engine's next load <ends>
    When trainer first starts a step with designs version 2
    Then that engine's order for version 2 was in doubt
    And trainer first has every sample of its step, truly labelled
    When that engine's later orders pass
    And trainer second starts a step with designs version 3
    Then trainer second has every sample of its step, truly labelled
    And both engines run designs version 3 and take work
    When trainer third starts a long step with designs version 3
    And that engine's order goes on
    Then trainer third has every sample of its step, truly labelled
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

  Scenario Outline: An engine in doubt gets no work until its version was read
    # The trainer's samples all come from the sound engine. The other has no whole version, or
    # nobody can read which it has; work sent there would be made in vain, or labelled by guess.
    Given designs on an engine that <kind> and on a sound one
    And that engine's <doubt>
    When trainer first starts a step with designs version 2
    Then trainer first has every sample of its step, truly labelled
    And the entries use one engine for designs
    When trainer second starts a step with designs version 3
    Then trainer second has every sample of its step, truly labelled
    And that engine was given no work since
    When that engine's order goes on
    Then both engines run designs version 3 and take work

    Examples:
      | kind              | doubt                       |
      | checks numbers    | loads all fail midway       |
      | states no version | loads all fail midway       |
      | checks numbers    | version can't be read       |

  Scenario Outline: The weight store is no help
    # The trainer's step ends although no engine can load its version: engines go on with the older
    # one, which the staleness bound allows, and load once the store is back.
    Given designs on an engine that <kind> and on a sound one
    And the weight store's <setting> is <value>
    When trainer first starts a step with designs version 2
    Then trainer first has every sample of its step, truly labelled
    And orders to <count> engines for version 2 were <outcome>
    When trainer second starts a step with designs version 3
    Then trainer second has every sample of its step, truly labelled
    When the weight store's <setting> is <mended>
    Then both engines run designs version 3 and take work

    Examples:
      | kind              | setting          | value  | count | outcome  | mended |
      | checks numbers    | outage           | refuse | 2     | refused  | none   |
      | ignores numbers   | outage           | hang   | 2     | in doubt | none   |
      | states no version | slow_ms          | 2500   | 2     | in doubt | 0      |
      | checks numbers    | reads_per_second | 1      | 1     | refused  | 1      |

  Scenario: Tokens whose start is told late are not labelled by a later reading
    # The trainer would get a wrong label: an engine that states no version made a sample with one
    # version, but its answer was under way while the next was loaded and confirmed. A version read
    # when the answer starts to come is the new one, before and after.
    Given designs on an engine that states no version and on a sound one
    And that engine's next order to load will be stopped when half loaded
    And that engine's answers to generations are held
    When trainer first starts a step with designs version 2
    And that engine's order for version 2 has come so far
    And that engine has made a whole sample
    And that engine's load alone goes on
    Then that engine's order for version 2 was loaded
    When that engine's order goes on
    Then trainer first has every sample of its step, truly labelled

  Scenario: Versions come faster than loads
    # Guards against an engine that loads version after version while it falls behind, and against samples older than the bound.
    Given designs on an engine that checks numbers and on a sound one
    And that engine's next order to load will be stopped when half loaded
    When trainer first takes 8 short steps from designs version 2
    And that engine's order for version 2 has come so far
    Then trainer first has every sample of its step, truly labelled
    When that engine's load alone goes on
    Then both engines run designs version 9 and take work
    And that engine was ordered fewer than 4 loads
    And no engine accepted an order older than one before it

  Scenario: A sidecar that is cut off from the log learns of a version all the same
    # The trainer's version is in the log, which the sidecar can't reach; an entry sends it on.
    Given designs on an engine that checks numbers and on a sound one
    And that engine's sidecar is cut off from the log
    When trainer first starts a step with designs version 2
    Then trainer first has every sample of its step, truly labelled
    And both engines run designs version 2 and take work
