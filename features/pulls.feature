Feature: Samples are delivered to their trainer once, and never stale
  Each pull states which samples the trainer holds; only this shows that a sample was delivered. Work items
  are named a, b, c as they start; `7/5` is 5 tokens of version 7; `3<10` is sample 3 resumed after 10 tokens.

  Scenario Outline: No work is started before the trainer has stated which samples it holds
    # An entry was restarted without its state, and the trainer registers the step again and pulls.
    # Guards against generating again the samples that the trainer already holds.
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

  Scenario Outline: A registration that lists the held samples needs no first pull
    Given a collector of 4 samples whose trainer said it holds "<held>"
    When its sample events are <events>
    Then the samples started were <works>

    Examples:
      | held | events                                 | works         |
      |      | start 4                                | 0 1 2 3       |
      | 0,2  | start 4                                | 1 3 none none |
      | 0-3  | start                                  | none          |
      | 0    | after 1800, start, after 1, start      | 1 none        |

  Scenario Outline: Samples are offered again after a lost answer, and held samples never
    # An answer is cut off and the trainer pulls again. Only that pull shows whether the first answer
    # arrived. Guards against removing samples that were sent but not received.
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

  Scenario Outline: A stale sample is discarded, counted and generated again
    # The trainer raises its version between two pulls. Guards against delivering a sample that was not
    # stale when it was generated, or when its first answer was lost, but is too old now.
    Given a collector of 2 samples, staleness bound 1
    When its sample events are pull 7, start 2, <events>
    Then the sample pulls were answered empty; <answers>
    And the samples started were <works>
    And <stale> samples were counted stale and <remade> generated again

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

  Scenario: The older of two concurrent pulls is refused
    # The trainer's first pull is delayed by a load balancer and it pulls again. If both pulls were
    # answered, the same samples would be sent twice.
    Given a collector of 2 samples, staleness bound 1
    When a sample pull waits and another one comes
    Then the sample pull that waited is refused as superseded, and none got a sample

  Scenario: The digest of an answer shows whether its body is complete
    When a sample with the text "é\ud83d\n" is answered
    Then the sample answer's digest fits its body, and not the body without its last byte
    And the sample answer is
      """
      {"step": 12, "version": 7, "complete": true, "samples": [
        {"number": 1, "group": 0, "text": "\u00e9\ud83d\n",
         "label": [{"version": 6, "tokens": 3}, {"version": 7, "tokens": 2}]}]}
      """

  Scenario Outline: Only the newest step of the newest incarnation is collected
    # A trainer that was paused resumes and registers a step that its successor has already passed; the
    # registration is refused. A step is written incarnation/step; 3/5b has other groups.
    Given a sample registry for 3 trainers and 2 open steps
    When these sample steps are registered: <steps>
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

  Scenario: The work of a closed step is cancelled
    Given a sample registry for 3 trainers and 2 open steps
    When these sample steps are registered: a3/5 started:2 a3/6 started:1 a4/1
    Then 3 work items of the sample registry are cancelled, each once

  Scenario Outline: A random run of lost answers, restarts, hedges and new versions
    # A model of the trainer, the engines and two entries draws random events and checks every answer.
    # Each sample must arrive once and within the staleness bound, and the step must become complete,
    # whatever is lost, late, repeated or replaced.
    When a model trainer plays <events> events with seed <seed> against two sample registries
    Then no sample was lost, duplicated, stale or wrongly labelled, and each kind of event occurred

    Examples:
      | seed | events |
      | 1    | 25000  |
      | 2    | 25000  |
      | 3    | 25000  |
      | 4    | 25000  |
      | 5    | 25000  |
      | 6    | 25000  |
