Feature: What callers get while servers are overloaded
  A server takes 60 ms for a request, runs as many at once as it has slots, and refuses all others at once. Load is
  relative to the capacity of the servers. Callers have 600 ms; a refused one retries after the stated delay.

  Scenario Outline: Callers are served up to the capacity of the servers, and the others are refused at once
    # Under overload a caller that waits until its deadline can't try elsewhere, and requests of callers
    # that have given up take the slots of those that still wait.
    Given overloaded servers with the slots <places>
    When callers arrive for 2 s at <load> of the servers' capacity
    Then at least <served> percent of the callers that could be served are served in time
    And at most <refused> percent of the callers are served late or not at all
    And a refusal takes the entry less than 150 ms, means not run, and says when to retry

    Examples:
      | places | load | served | refused |
      | 4 4 4  | 0.5  | 98     | 2       |
      | 4 4 4  | 0.8  | 95     | 5       |
      | 4 4 4  | 1.5  | 80     | 60      |
      | 4 4 4  | 3.0  | 75     | 80      |
      | 2 10   | 0.8  | 95     | 5       |
      | 1 1 10 | 0.8  | 95     | 5       |

  Scenario Outline: Requests are distributed by the capacity of each server
    # With equal shares a small server is full while a large one has free slots: callers are refused
    # without need, or wait for a second attempt.
    Given overloaded servers with the slots <places>
    When callers arrive for 2 s at 0.6 of the servers' capacity
    Then no server refuses more than <percent> percent of its requests

    Examples:
      | places | percent |
      | 4 4 4  | 10      |
      | 2 10   | 10      |
      | 2 4 8  | 10      |

  Scenario Outline: The retry time grows with the number of refused callers
    # If many refused callers retry after the same short time, the entry is busy refusing them, and they
    # arrive together again. A caller that is told to wait past its latency objective is lost.
    Given <answered> answers and <refused> refusals each second, and an objective of <objective> ms
    When <seconds> s have passed
    Then a refused caller is told to retry after <least> to <most> ms
    And refused callers are told different times

    Examples:
      | answered | refused | objective | seconds | least | most |
      | 100      | 1       | 600       | 2       | 112   | 188  |
      | 100      | 100     | 600       | 2       | 112   | 188  |
      | 50       | 100     | 2000      | 2       | 225   | 375  |
      | 10       | 100     | 2000      | 2       | 600   | 1000 |
      | 0        | 100     | 600       | 2       | 180   | 300  |
      | 0        | 100     | 100       | 2       | 112   | 188  |

  Scenario: Refusals from long ago do not raise the retry time
    Given 10 answers and 100 refusals each second, and an objective of 2000 ms
    When 9 s have passed
    Then the first refused caller is told to retry within 188 ms
