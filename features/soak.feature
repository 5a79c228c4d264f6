Feature: A short soak: a deployment keeps its guarantees under load and random faults
  Longer runs: make soak SEED=7 MINUTES=10. A seed that revealed a fault is added to the examples.

  Scenario Outline: No guarantee is broken under the faults of a seed
    # Callers book through three entries, a trainer runs steps and operators publish concurrently. The
    # seed decides which processes are killed, frozen or cut off and how the platform fails. At the end
    # the answers that callers and trainers got are compared with the runs that the services counted.
    When the soak runs for 12 seconds with seed <seed>
    Then the soak found no violation and completed work

    Examples: seed 1 revealed a sample whose text lacked its start
      | seed |
      | 1    |
      | 7    |
