Feature: What callers get while servers are full
  Servers take 60 ms a request, as many at once as they have places, and refuse all others at once. Load is
  given in parts of what the servers can do. Callers have 600 ms; one that is refused comes back when told.

  Scenario Outline: Callers are served up to what the servers can do, and the others hear so at once
    # Everybody arrives at once and servers are full. A caller that is held until its time is over
    # can't try elsewhere, and work for callers that have left takes the places of those still there.
    Given full-load servers with the places <places>
    When callers arrive for 2 s at <load> of what these can do
    Then at least <served> percent of what could be served is served in time
    And at most <refused> percent of the callers are served late or not at all
    And a refusal takes the entry less than 150 ms, is true, and says when to come back

    Examples:
      | places | load | served | refused |
      | 4 4 4  | 0.5  | 98     | 2       |
      | 4 4 4  | 0.8  | 95     | 5       |
      | 4 4 4  | 1.5  | 80     | 60      |
      | 4 4 4  | 3.0  | 75     | 80      |
      | 2 10   | 0.8  | 95     | 5       |
      | 1 1 10 | 0.8  | 95     | 5       |

  Scenario Outline: Work is placed by what each server can carry
    # A small server given an equal share is full while a large one beside it has places: its callers
    # are refused for nothing, or wait for a second attempt.
    Given full-load servers with the places <places>
    When callers arrive for 2 s at 0.6 of what these can do
    Then no server refuses more than <percent> percent of what comes to it

    Examples:
      | places | percent |
      | 4 4 4  | 10      |
      | 2 10   | 10      |
      | 2 4 8  | 10      |

  Scenario Outline: Refused callers are told to come back the later, the more of them there are
    # A crowd that all comes back after the same short time keeps the entry busy with refusing, and
    # those refused together arrive together again. Told to wait past their objective they are lost.
    Given <answered> answers and <refused> refusals each second, for callers with <objective> ms
    When <seconds> s have passed
    Then a refused caller comes back after <least> to <most> ms
    And refused callers don't come back together

    Examples:
      | answered | refused | objective | seconds | least | most |
      | 100      | 1       | 600       | 2       | 112   | 188  |
      | 100      | 100     | 600       | 2       | 112   | 188  |
      | 50       | 100     | 2000      | 2       | 225   | 375  |
      | 10       | 100     | 2000      | 2       | 600   | 1000 |
      | 0        | 100     | 600       | 2       | 180   | 300  |
      | 0        | 100     | 100       | 2       | 112   | 188  |

  Scenario: A crowd that was refused long ago keeps nobody waiting
    Given 10 answers and 100 refusals each second, for callers with 2000 ms
    When 9 s have passed
    Then the first caller that is refused comes back within 188 ms
