Feature: Admission at a backend server
  Work is a list of id:priority:cost in ms, with :budget in ms where it matters; the id's first
  letter is the customer. Customers a, b, c and d have shares of 50, 30, 20 and 1 percent.

  Scenario Outline: Urgent classes go first and customers of a class take turns by share
    Given an admission queue with 1 slots and 100 places
    When admission is asked for <work>
    Then admission runs in order <order>

    Examples:
      | work                                                     | order                   |
      | a1:background:10 a2:sampling:10 a3:critical:10           | a3 a2 a1                |
      | a1:interactive:10 a2:interactive:10 a3:interactive:10    | a1 a2 a3                |
      | a1:interactive:10 a2:interactive:10 b1:interactive:10    | a1 b1 a2                |
      | a1:critical:60 a2:critical:60 b1:critical:10 b2:critical:10 | b1 b2 a1 a2          |
      | a1:7:10 a2:-3:10                                         | a2 a1                   |

  Scenario Outline: Work is refused at once when it would be late
    # The caller gets "not run" and when to come back while there is time to go elsewhere. Letting
    # it wait would end in the same refusal later, and a slot spent on a late answer helps nobody.
    Given an admission queue with <slots> slots and 100 places
    When admission is asked for <before>
    And admission hands out <running> works
    And admission time passes by <passed> ms
    And admission is asked for <work>
    Then admission answered <answer> to the last one
    And admission said to come back after <least> to <most> ms

    Examples: the budget does or does not cover wait and cost
      | slots | before                                  | running | passed | work                   | answer   | least | most |
      | 1     | a1:interactive:10                       | 1       | 0      | a2:interactive:10:21   | ok       | 0     | 0    |
      | 1     | a1:interactive:10                       | 1       | 0      | a2:interactive:10:19   | too-late | 50    | 100  |
      | 1     | a1:interactive:500 a2:interactive:500   | 1       | 0      | a3:interactive:10:500  | too-late | 510   | 1020 |
      | 2     | a1:interactive:500 a2:interactive:500   | 1       | 0      | a3:interactive:10:500  | too-late | 50    | 100  |
      | 2     | a1:interactive:500                      | 1       | 0      | a3:interactive:10:11   | ok       | 0     | 0    |
      | 1     | a1:interactive:500                      | 1       | 400    | a3:interactive:10:111  | ok       | 0     | 0    |
      | 1     | a1:interactive:10                       | 0       | 0      | a2:interactive:30:20   | too-late | 50    | 100  |

    Examples: only what goes first counts
      | slots | before                                  | running | passed | work                   | answer   | least | most |
      | 1     | a1:sampling:500 a2:sampling:500         | 1       | 0      | b3:interactive:10:525  | ok       | 0     | 0    |
      | 1     | a1:interactive:10 a2:interactive:500    | 1       | 0      | b3:interactive:10:40   | ok       | 0     | 0    |
      | 1     | a1:critical:10 a2:critical:500          | 1       | 0      | b3:interactive:10:400  | too-late | 50    | 300  |

    Examples: work that is overdue is expected to take as long again as it is late
      | slots | before                                  | running | passed | work                   | answer   | least | most |
      | 1     | a1:interactive:10                       | 1       | 5010   | a2:interactive:10:4000 | too-late | 1000  | 2100 |

    Examples: when all that runs is late, new work is expected to take as long
      | slots | before                                  | running | passed | work                   | answer   | least | most |
      | 2     | a1:interactive:10 a2:interactive:10     | 2       | 1000   | a3:interactive:10:1500 | too-late | 490   | 980  |
      | 2     | a1:interactive:10 a2:interactive:10     | 2       | 1000   | a3:interactive:10:2000 | ok       | 0     | 0    |
      | 3     | a1:interactive:10                       | 1       | 1000   | a3:interactive:10:100  | ok       | 0     | 0    |

  Scenario Outline: A slow spell does not shut the queue for ever
    # Each completed work took ten times its prediction, so all that follows is refused, nothing
    # completes and nothing corrects the estimate. It fades by itself, so work is let in again.
    Given an admission queue with 1 slots and 100 places
    When admission runs 20 works that take 10 times the predicted 10 ms
    And admission time passes by <idle> ms
    And admission is asked for a1:interactive:10:50
    Then admission answered <answer> to the last one

    Examples:
      | idle  | answer   |
      | 0     | too-late |
      | 5000  | too-late |
      | 15000 | ok       |

  Scenario: Work that was given up says nothing of how long work takes
    # Preempted work ends early. Counted as service it would make all estimates too short, and
    # callers would be let in whose answers come late.
    Given an admission queue with 1 slots and 100 places
    When admission gives up 20 works of 10 ms before they run
    And admission is asked for a1:interactive:10:9
    Then admission answered too-late to the last one

  Scenario Outline: At the bound more urgent work displaces the newest of the least urgent
    # The displaced caller is told "not run" at once, with when to come back; it waits for nothing.
    Given an admission queue with 1 slots and <places> places
    When admission is asked for <before>
    And admission is asked for <work>
    Then admission answered <answer> to the last one
    And admission dropped <dropped>

    Examples:
      | places | before                                                  | work              | answer     | dropped        |
      | 2      | a1:sampling:10 a2:sampling:10                           | b1:interactive:10 | ok         | a2:queue-full  |
      | 3      | a1:background:10 a2:background:10 a3:sampling:10        | b1:interactive:10 | ok         | a2:queue-full  |
      | 2      | a1:interactive:10 a2:interactive:10                     | b1:sampling:10    | queue-full | nothing        |
      | 2      | a1:interactive:10 a2:interactive:10                     | a3:interactive:10 | queue-full | nothing        |
      | 3      | a1:interactive:10 a2:interactive:10 a3:interactive:10   | b1:interactive:10 | ok         | a3:queue-full  |
      | 3      | a1:interactive:10 b2:interactive:10 b3:interactive:10   | d1:interactive:10 | queue-full | nothing        |

  Scenario Outline: Each class keeps one place in twenty
    # Without it a queue full of urgent work refuses every background sync, whose retry is refused
    # again; the floor in service time can't help work that is never let in.
    Given an admission queue with 1 slots and 20 places
    When admission is filled with 20 works of <filling> class
    And admission is asked for <work>
    Then admission answered <answer> to the last one
    And admission dropped <dropped>

    Examples:
      | filling     | work                            | answer     | dropped             |
      | interactive | b1:background:10                | ok         | a20:queue-full      |
      | critical    | b1:background:10                | ok         | a20:queue-full      |
      | interactive | b1:background:10 b2:background:10 | queue-full | a20:queue-full    |
      | background  | b1:critical:10 b2:critical:10   | ok         | a20:queue-full a19:queue-full |

  Scenario Outline: Whatever happens, accepted work ends in exactly one way
    # A caller that was told "not run" must never have run, and one that was let in must hear how it
    # ended: handed out, dropped, or cancelled by itself. Random calls, also after the close.
    Given an admission queue with <slots> slots and <places> places
    When admission gets 3000 random calls from seed <seed>
    Then admission ended each accepted work once and kept its bounds

    Examples:
      | slots | places | seed |
      | 1     | 1      | 1    |
      | 2     | 5      | 2    |
      | 4     | 40     | 3    |
      | 8     | 200    | 4    |

  Scenario: Work whose deadline passes while it waits is answered and never handed out
    # The one slot stays busy for longer than the waiting work has. Its caller hears "not run" as
    # soon as the deadline is past, though no slot became free to look at the queue.
    Given an admission queue with 1 slots and 100 places
    When admission is asked for a1:sampling:10 a2:sampling:10:100 a3:sampling:10
    And admission hands out 1 works
    And admission time passes by 100 ms
    Then admission dropped a2:too-late
    And admission has 1 waiting and 1 running
    When admission work a1 ends after 100 ms
    Then admission runs in order a3

  Scenario Outline: Work that can no longer end in time makes way for work that can
    # The work before it took longer than predicted. Its caller is told "not run" at once instead
    # of a late answer, and the next caller's answer is not late too. Alone it is tried anyway.
    Given an admission queue with 1 slots and 100 places
    When admission is asked for <work>
    And admission hands out 1 works
    And admission time passes by 130 ms
    And admission work a1 ends after 130 ms
    Then admission runs in order <order>
    And admission dropped <dropped>

    Examples:
      | work                                                               | order | dropped     |
      | a1:interactive:100 a2:interactive:50:160 a3:interactive:50         | a3    | a2:too-late |
      | a1:interactive:100 a2:interactive:50:160 b3:interactive:500        | b3    | a2:too-late |
      | a1:interactive:100 a2:interactive:50:160 b3:background:50          | a2 b3 | nothing     |
      | a1:interactive:100 a2:interactive:50:160                           | a2    | nothing     |
      | a1:interactive:100 a2:interactive:20:160 a3:interactive:50         | a2 a3 | nothing     |

  Scenario Outline: Running work is given up only for more urgent work, and only when slots are short
    Given an admission queue with <slots> slots and 100 places
    When admission is asked for <work>
    And admission hands out <running> works
    Then admission gives up <victim> for <priority> work

    Examples:
      | slots | work                                               | running | priority    | victim  |
      | 2     | a1:sampling:10 a2:sampling:10                      | 2       | interactive | a2      |
      | 3     | a1:sampling:10 a2:background:10 a3:sampling:10     | 3       | critical    | a2      |
      | 2     | a1:sampling:10                                     | 1       | interactive | nothing |
      | 1     | a1:sampling:10                                     | 1       | sampling    | nothing |
      | 1     | a1:interactive:10                                  | 1       | critical    | nothing |

  Scenario: Cancelled, finished and refused work leaves nothing behind
    Given an admission queue with 1 slots and 100 places
    When admission is asked for a1:interactive:10 a2:interactive:10 a3:interactive:10
    And admission hands out 1 works
    Then admission cancels a2 but not a1 or x9
    When admission work a1 ends after 10 ms
    And admission work a1 ends after 10 ms
    Then admission runs in order a3
    And admission has 0 waiting and 0 running

  Scenario: A queue that is closed refuses new work and finishes the rest
    # A planned stop: the newcomer's caller is sent elsewhere at once, no request is cut.
    Given an admission queue with 1 slots and 100 places
    When admission is asked for a1:interactive:10 a2:interactive:10
    And admission hands out 1 works
    And admission closes
    And admission is asked for a3:critical:10
    Then admission answered leaving to the last one
    When admission work a1 ends after 10 ms
    Then admission runs in order a2

  Scenario: A queue that is closed for a leave hands over what waits
    # The callers of what waits hear at once that it did not run; what runs is finished.
    Given an admission queue with 1 slots and 100 places
    When admission is asked for a1:interactive:10 a2:interactive:10 a3:critical:10
    And admission hands out 1 works
    And admission closes
    And admission drops what waits
    Then admission dropped a1:leaving a2:leaving
    And admission has 0 waiting and 1 running
    When admission work a3 ends after 10 ms
    Then admission has 0 waiting and 0 running

  Scenario: Dropped work that nobody collects ends admission instead of memory
    # A stuck collector: the queue would otherwise grow by one refusal for each displaced work.
    Given an admission queue with 1 slots and 3 places
    When admission is asked for a1:background:10 a2:background:10 a3:background:10
    And admission is asked for b1:critical:10 b2:critical:10 b3:critical:10
    And admission is asked for b4:critical:10
    Then admission answered queue-full to the last one
    And admission dropped a3:queue-full a2:queue-full a1:queue-full

  Scenario Outline: Shares hold under saturation, whatever the arrivals and the predictions
    # Customer a sends far more than its share and fills the queue; b's work takes longer than
    # predicted. If either helped itself, the others' callers would see refusals below their share.
    Given an admission queue with <slots> slots and <places> places
    When admission is simulated for <seconds> s with arrivals <arrivals> and service factors <factors>
    Then admission gave shares <shares> of the service time within 5 percent of each

    Examples:
      | slots | places | seconds | arrivals          | factors       | shares         |
      | 1     | 40     | 40      | a:90 b:90 c:90    | a:1 b:1 c:1   | a:50 b:30 c:20 |
      | 2     | 40     | 25      | a:400 b:90 c:90   | a:1 b:2 c:1   | a:50 b:30 c:20 |
      | 4     | 100    | 15      | a:400 b:400 c:200 | a:1 b:2 c:0.5 | a:50 b:30 c:20 |
      | 1     | 40     | 40      | a:90 c:90         | a:1 c:1       | a:71.4 c:28.6  |
      | 1     | 40     | 60      | a:90 b:7 c:90     | a:1 b:1 c:1   | a:60.2 b:15.75 c:24.1 |

  Scenario Outline: Background work ends under a steady load of urgent work
    # Without a floor a depot's sync would wait as long as bookings keep coming, which is all day.
    # Urgent work also preempts whatever it may at each arrival; the sync still goes on.
    Given an admission queue with <slots> slots and 100 places
    When admission is simulated with urgent work at <load> times what the slots can do
    Then admission completed background work at 2 to 4 percent of it

    Examples:
      | slots | load |
      | 1     | 1.5  |
      | 4     | 2    |

  Scenario Outline: Nothing that could have been met is refused, and nothing else is let in
    # Each arrival is replayed without the later ones: refused work is let in with no deadline, to
    # see when it would have ended. One piece of work is the grain of the estimate.
    Given an admission queue with <slots> slots and 1000 places
    When admission replays <count> arrivals of <customers> one by one
    Then admission was never wrong by more than <grain> ms

    Examples:
      | slots | count | customers | grain |
      | 1     | 80    | a         | 0.1   |
      | 1     | 80    | a b c     | 40    |
      | 4     | 160   | a b c     | 40    |

  Scenario: Works are each handed out once, to threads that take and submit at the same time
    Given an admission queue with 4 slots and 1000 places
    When 4 threads submit 50 works each while 4 threads take for admission
    Then admission handed out all 200 once
