Feature: Tasks that last as long as their process

  Scenario Outline: A lasting task that fails runs anew until the group stops
    # A link's task dies of an unexpected error and nobody notices: the process looks healthy and
    # never uses that sidecar again.
    Given a group with a lasting task that fails <failures> times
    When the task group has run it to its end
    Then the lasting task ran <runs> times and every thread of the group ended

    Examples:
      | failures | runs |
      | 0        | 1    |
      | 1        | 2    |
      | 2        | 3    |
