Feature: A short soak of front programs: random faults, checked by what everyone saw
  Three programs on the platform's stand-in. Longer runs: make front-soak SEED=7 COUNT=50 SECONDS=12.
  A seed that shows a fault stays here, with a line on its cause.

  Scenario Outline: Nothing that was promised is broken under the faults of a seed
    # Callers send requests that may not be repeated, a trainer takes steps, while programs are killed,
    # stopped, paused, cut off, the store fails, servers lose answers and are replaced, as the seed draws
    # it. At the end what callers and the trainer were told is compared with what the servers did.
    When the front soak runs for 6 seconds with seed <seed>
    Then the front soak broke no promise and got work done

    Examples:
      | seed |
      | 3    |
      | 101  |
