Feature: Samples reach their trainer once, and fresh
  The trainer's own statement of what it holds, made with every pull, is the only truth. Works are
  named a, b, c as they start; `7/5` is 5 tokens of version 7; `3<10` is sample 3 resumed after 10 tokens.

  Scenario Outline: Nothing is made before the trainer said what it holds
    # The trainer sees a replaced entry go on where the old one died. The entry lost its memory, the
    # trainer put the step again and pulled; what it holds by then must not be made a second time.
    Given a collector of 4 samples, staleness bound 1
    When its sample events are <events>
    Then the samples started were <works>

    Examples:
      | events                                    | works               |
      | start, pull 7, start                      | none 0              |
      | start, pull 7 0-2, start 2                | none 3 none         |
      | pull 7 0-3, start                         | none                |
      | pull 7, close, start                      | none                |
      | pull 7, after 120, start                  | 0                   |
      | pull 7, after 121, start, pull 7, start   | none 0              |

  Scenario Outline: A step that says what is held needs no first pull
    Given a collector of 4 samples whose trainer said it holds "<held>"
    When its sample events are <events>
    Then the samples started were <works>

    Examples:
      | held | events                                 | works         |
      |      | start 4                                | 0 1 2 3       |
      | 0,2  | start 4                                | 1 3 none none |
      | 0-3  | start                                  | none          |
      | 0    | after 1800, start, after 1, start      | 1 none        |

  Scenario Outline: A lost answer is offered again and a held sample never
    # The trainer sees an answer cut off and pulls again. The first answer may have reached it or
    # not; only its next statement tells, so the samples stay until then.
    Given a collector of 2 samples, staleness bound 1
    When its sample events are pull 7, start 2, whole a 7/5, <events>
    Then the sample pulls were answered empty; <answers>

    Examples:
      | events                                              | answers                         |
      | pull 7, pull 7                                      | 0:7/5; 0:7/5                    |
      | pull 7, pull 7 0                                    | 0:7/5; empty                    |
      | pull 7, whole b 7/3, pull 7, pull 7 0               | 0:7/5; 0:7/5 1:7/3 complete; 1:7/3 complete |
      | whole b 7/3, pull 7 nothing 1, pull 7 0 1           | 0:7/5; 1:7/3 complete           |
      | pull 7 1, whole b 7/3, pull 7 0                     | 0:7/5 complete; empty           |
      | pull 7 0-1, pull 7 0-1                              | complete; complete              |
      | whole b 7/3, pull 7 0-1, pull 7 0, start, whole c 8/2, pull 7 0 | complete; empty; 1:8/2 complete |

  Scenario Outline: A stale sample is dropped, counted and made anew
    # The trainer sees only fresh samples. It raises its version between two pulls, so a sample
    # that was fresh when it was made, or when its answer was lost, may be too old by now.
    Given a collector of 2 samples, staleness bound 1
    When its sample events are pull 7, start 2, <events>
    Then the sample pulls were answered empty; <answers>
    And the samples started were <works>
    And <stale> samples were counted stale and <remade> made anew

    Examples:
      | events                                                   | answers               | works    | stale | remade |
      | whole a 6/5, pull 7                                      | 0:6/5                 | 0 1      | 0     | 0      |
      | whole a 6/5, pull 8, start, whole c 8/2, pull 8          | empty; 0:8/2          | 0 1 0    | 1     | 1      |
      | whole a 7/1 6/1 7/9, pull 7, pull 8, start               | 0:7/1+6/1+7/9; empty  | 0 1 0    | 1     | 1      |
      | whole a 5/5, start, pull 7                               | empty                 | 0 1 0    | 1     | 1      |
      | tokens a 6/5, pull 8, start, whole a 8/1, whole c 8/2, pull 8 | empty; 0:8/2     | 0 1 0    | 1     | 1      |
      | tokens a 6/5, broke a, pull 8, start, pull 8             | empty; empty          | 0 1 0    | 1     | 1      |
      | tokens a 7/5, broke a, pull 8, start, pull 8             | empty; empty          | 0 1 0<5  | 0     | 0      |
      | pull 9, pull 8, whole a 7/5, start, pull 9               | empty; empty; empty   | 0 1 0    | 1     | 1      |

  Scenario Outline: A pull is refused
    Given a collector of 2 samples, staleness bound 1
    When its sample events are pull 7, start 2, whole a 7/5, <events>
    Then the sample pulls were answered empty; <answers>

    Examples:
      | events              | answers      |
      | pull 7 nothing 64 2 | superseded   |
      | pull 7 nothing 64 4 | step-unknown |
      | pull 7 2            | bad-held     |
      | close, pull 7       | step-unknown |

  Scenario: Of two pulls in flight the older is refused
    # The trainer's first pull hangs in a balancer and it pulls again. Both reach the collector; if
    # both were answered, the same samples would be on their way twice.
    Given a collector of 2 samples, staleness bound 1
    When a sample pull waits and another one comes
    Then the sample pull that waited is refused as superseded, and none got a sample

  Scenario: An answer is whole or recognised as cut
    When a sample with the text "é\ud83d\n" is answered
    Then the sample answer's digest fits its body, and not the body without its last byte
    And the sample answer is
      """
      {"step": 12, "version": 7, "complete": true, "samples": [
        {"number": 1, "group": 0, "text": "\u00e9\ud83d\n",
         "label": [{"version": 6, "tokens": 3}, {"version": 7, "tokens": 2}]}]}
      """

  Scenario Outline: Only the newest step of the newest incarnation is collected
    # A trainer that was paused wakes up and puts a step that its successor has long gone past; it
    # sees a refusal. A step in the registry is written incarnation/step; 3/5b has other groups.
    Given a sample registry for 3 trainers and 2 open steps
    When these sample steps are put: <steps>
    Then the sample registry answered <answers>
    And the sample steps open are <open>

    Examples:
      | steps                               | answers                             | open        |
      | a3/5                                | new                                 | a3/5        |
      | a3/5 a3/5                           | new same                            | a3/5        |
      | a3/5 a3/5b                          | new conflict                        | a3/5        |
      | a3/5 a3/4                           | new superseded                      | a3/5        |
      | a3/5 a2/9                           | new superseded                      | a3/5        |
      | a3/5 a3/6                           | new new                             | a3/6        |
      | a3/5 a4/1                           | new new                             | a4/1        |
      | a3/5 a4/5b                          | new new                             | a4/5        |
      | a3/5 heard:a4 a3/6                  | new superseded                      | none        |
      | a3/5 heard:a3 a3/5                  | new same                            | a3/5        |
      | a3/5 deleted:a3/4 a3/5              | new same                            | a3/5        |
      | a3/5 deleted:a3/5 a3/5b a3/4        | new new superseded                  | a3/5        |
      | a3/5 b3/5 c3/5 a3/6                 | new new too-many new                | a3/6 b3/5   |
      | a3/5 b3/5 deleted:a3/5 c3/5         | new new new                         | b3/5 c3/5   |
      | a3/5 silent:1799 b3/5 silent:2 c3/5 | new new new                         | b3/5 c3/5   |
      | heard:a9 heard:b9 heard:c9 a3/5 heard:d9 a3/5 | superseded new            | a3/5        |

  Scenario: A closed step's work is cancelled and its pulls are told to put the step again
    Given a sample registry for 3 trainers and 2 open steps
    When these sample steps are put: a3/5 started:2 a3/6 started:1 a4/1
    Then 3 pieces of work of the sample registry are cancelled, each once

  Scenario Outline: A random run of lost answers, restarts, hedges and new versions
    # The trainer sees each sample once, none older than its bound when it arrives, and in the end
    # all of them, whatever is lost, late, repeated or replaced. The model plays the trainer, the
    # engines and two entries, in any order, and checks every answer that arrives.
    When a model trainer plays <events> events with seed <seed> against two sample registries
    Then no sample was lost, doubled, stale or wrongly labelled, and each kind of event had occurred

    Examples:
      | seed | events |
      | 1    | 25000  |
      | 2    | 25000  |
      | 3    | 25000  |
      | 4    | 25000  |
      | 5    | 25000  |
      | 6    | 25000  |
