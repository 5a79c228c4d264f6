Feature: Tasks that run as long as their process

  Scenario Outline: A supervised task is restarted after an error until the group stops
    # Otherwise an unexpected error could end the task of a link unnoticed: the process would look
    # healthy and never use that sidecar again.
    Given a group with a supervised task that fails <failures> times
    When the task group has run it to its end
    Then the supervised task ran <runs> times and every thread of the group ended

    Examples:
      | failures | runs |
      | 0        | 1    |
      | 1        | 2    |
      | 2        | 3    |
