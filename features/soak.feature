Feature: A short soak: random faults under load, checked by what everyone saw
  Longer runs: make soak SEED=7 MINUTES=10. A seed that shows a fault stays here.

  Scenario Outline: Nothing that was promised is broken under the faults of a seed
    # Callers book through three entries, a trainer takes steps, operators race, while processes are
    # killed, paused, cut off and their platform fails, as the seed draws it. At the end callers'
    # and trainers' records are compared with what the services and engines counted.
    When the soak runs for 12 seconds with seed <seed>
    Then the soak broke no promise and got work done

    Examples: seed 1 showed a sample whose text lacked its start
      | seed |
      | 1    |
      | 7    |
