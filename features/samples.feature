Feature: Labels, scheduling and hedging of samples
  A sample is labelled with the weight versions that its engine stated, or it is discarded. Work items
  are named a, b, c in the order of their start. `7/5` is 5 tokens of version 7, `?/3` is 3 tokens without
  a stated version, `3<10` is sample 3 resumed after 10 tokens, and `!` marks a hedge.

  Scenario Outline: A label is built from the pieces of a sample
    When a sample resumed from <resumed> is made of the pieces <pieces>
    And the sample's engine read <before> before and <after> after, <orders> order open
    Then the sample's label is <label>

    Examples: all pieces stated
      | resumed | pieces          | before  | after   | orders | label         |
      | nothing | 7/3             | nothing | nothing | an     | 7/3           |
      | nothing | 7/3 7/2         | nothing | nothing | an     | 7/5           |
      | nothing | 7/3 8/2 8/1     | 7       | 8       | an     | 7/3 8/3       |
      | nothing | 8/3 7/2 8/1     | nothing | nothing | an     | 8/3 7/2 8/1   |
      | nothing | 7/3 ?/0 7/0 7/1 | nothing | nothing | an     | 7/4           |
      | 6/4     | 7/3             | nothing | nothing | an     | 6/4 7/3       |
      | 6/4 7/1 | 7/3             | nothing | nothing | an     | 6/4 7/4       |

    Examples: pieces without a version whose version can be determined
      | resumed | pieces      | before | after | orders | label   |
      | nothing | ?/3         | 7      | 7     | no     | 7/3     |
      | nothing | 7/3 ?/2 7/1 | 7      | 7     | no     | 7/6     |
      | 6/4     | ?/3         | 7      | 7     | no     | 6/4 7/3 |

    Examples: labels that can't be determined
      | resumed | pieces   | before  | after   | orders | label         |
      | nothing | 7/3 ?/1  | nothing | nothing | no     | unstated      |
      | nothing | ?/3      | 7       | nothing | no     | unstated      |
      | nothing | ?/3      | nothing | 7       | no     | unstated      |
      | nothing | ?/3      | 7       | 8       | no     | unsettled     |
      | nothing | ?/3      | 7       | 7       | an     | unsettled     |
      | nothing | 6/3 ?/1  | 7       | 7       | no     | contradiction |
      | nothing | 7/-1 7/9 | 7       | 7       | no     | contradiction |
      | nothing | -7/3     | 7       | 7       | no     | contradiction |
      | nothing | 7/0      | 7       | 7       | no     | empty         |

  Scenario Outline: Failed work is resumed if the label of its text is known
    # Guards against wrong labels when an engine crashes midway. The text is resumed on another engine
    # and labelled with the versions of both. If its label is unknown, the sample is generated again.
    Given a collector of 2 samples, staleness bound 1
    When its sample events are pull 7, start 2, <events>, start, whole c 8/3, pull 7
    Then the samples started were 0 1 <work>
    And the sample pulls were answered empty; <answer>
    And the last delivered sample's text is "<text>"
    And 0 samples were counted stale and <remade> generated again

    Examples:
      | events                                  | work  | answer           | text           | remade |
      | tokens a 7/5, broke a                   | 0<5   | 0:7/5+8/3        | <a0><c0>       | 0      |
      | tokens a 8/5, broke a                   | 0<5   | 0:8/8            | <a0><c0>       | 0      |
      | tokens a 6/1 7/5, broke a               | 0<6   | 0:6/1+7/5+8/3    | <a0><a1><c0>   | 0      |
      | tokens a 7/5 ?/1, broke a               | 0     | 0:8/3            | <c0>           | 1      |
      | tokens a 7/100, broke a                 | 0     | 0:8/3            | <c0>           | 1      |
      | broke a, after 1                        | 0     | 0:8/3            | <c0>           | 0      |
      | whole a 7/3 ?/1, after 1                | 0     | 0:8/3            | <c0>           | 1      |
      | whole a 7/0, after 1                    | 0     | 0:8/3            | <c0>           | 0      |
      | tokens a 7/5, broke a, tokens a 7/9, done a | 0<5 | 0:7/5+8/3      | <a0><c0>       | 0      |

  Scenario Outline: Outcomes of finished work
    Given a collector of 2 samples, staleness bound 1
    When its sample events are pull 7, start 2, <events>
    Then the finished samples were <outcomes>

    Examples:
      | events                               | outcomes          |
      | whole a 7/3                          | kept              |
      | whole a 7/300                        | kept              |
      | whole a ?/3                          | unknown-label     |
      | tokens a ?/3, settled a 7            | kept              |
      | tokens a ?/3, settled a 5            | stale             |
      | tokens a 8/1 ?/3, settled a 7        | unknown-label     |
      | whole a 7/3, done a                  | kept not-wanted   |
      | tokens a 7/3, pull 7 0, done a       | not-wanted        |
      | close, whole a 7/3                   | not-wanted        |

  Scenario Outline: Work that failed without a token is retried after a growing delay
    Given a collector of 1 samples, staleness bound 1
    When its sample events are pull 7, start, broke a, <events>
    Then the samples started were 0 <works>

    Examples:
      | events                                       | works       |
      | start                                        | none        |
      | after 0.1, start                             | 0           |
      | after 0.1, start, broke b, after 0.09, start | 0 none      |
      | after 0.1, start, broke b, after 0.2, start  | 0 0         |

  Scenario Outline: The length of texts is bounded for one sample, for one answer and in total
    # Guards against unbounded memory: a text that is too long is discarded, and no work is started
    # while too much text is pending delivery to a trainer that does not pull.
    Given a collector of 20 samples, staleness bound 1
    When its sample events are pull 7, <events>
    Then the samples started were <works>
    And the sample pulls were answered empty<answers>

    Examples:
      | events                                                                   | works | answers       |
      | start, flood a 4194305, start, after 1, start                            | 0 1 0 | |
      | start 2, flood a 4194304, flood b 4194304, done a, done b, pull 7, pull 7 0 | 0 1 | ; 0:7/1; 1:7/1 |
      | start 16, fill 16, start, pull 7 0, start                                | 0 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 none 16 | ; 1:7/1 2:7/1 3:7/1 4:7/1 |

  Scenario Outline: Samples start by predicted length, longest first, and equal groups take turns
    Given a collector of 3 groups of 3 samples, hedges of 0 percent
    When its sample events are pull 7, <events>
    Then the samples started were <works>

    Examples:
      | events                                                        | works               |
      | start 9                                                       | 0 3 6 1 4 7 2 5 8   |
      | start 3, whole a 7/9, whole b 7/900, whole c 7/9, start 4     | 0 3 6 4 5 1 7       |
      | start 3, whole a 7/9, whole b 7/900, whole c 7/9, tokens a 7/9, pull 7 4-5, start 2 | 0 3 6 1 7 |
      | start 3, tokens b 7/5, broke b, start 2                       | 0 3 6 3<5 1         |

  Scenario Outline: A straggler on a slow engine is hedged, and the first complete answer is kept
    # Guards against steps delayed by an engine that is ten times slower than the others. A second
    # attempt at the sample resumes from its text so far; the first one to end is kept, once.
    Given a collector of 1 groups of 8 samples, hedges of 50 percent
    When its sample events are pull 7, start 8, after 10, whole a 7/100, whole b 7/100, whole c 7/100, whole d 7/100, whole e 7/100, whole f 7/100, whole g 7/100, tokens h 7/10, after 50, <events>
    Then the samples started were 0 1 2 3 4 5 6 7 <works>
    And the sample work cancelled was <cancelled>
    And the sample pulls were answered empty; <answer>

    Examples:
      | events                                                        | works     | cancelled | answer               |
      | start 2, whole i 8/3, whole h 7/9, pull 7 0-6                 | 7<10! none | h        | 7:7/10+8/3 complete  |
      | start, whole h 8/3, whole i 7/9, pull 7 0-6                   | 7<10!     | i         | 7:7/10+8/3 complete  |
      | start, broke h, start, whole i 8/3, pull 7 0-6                | 7<10! none | none     | 7:7/10+8/3 complete  |
      | start, tokens h 7/2, broke h, broke i, after 1, start, whole j 8/3, pull 7 0-6 | 7<10! 7<12 | none | 7:7/12+8/3 complete |
      | start, whole i 8/3 ?/1, whole h 7/9, pull 7 0-6               | 7<10!     | none      | 7:7/19 complete      |
      | start, pull 7 0-7                                             | 7<10!     | h i       | complete             |
      | start, pull 10, start                                         | 7<10! 0   | h i       | empty                |

  Scenario Outline: Hedges stay within their token budget, and a long text alone is not a straggler
    Given a collector of 1 groups of 8 samples, hedges of <percent> percent
    When its sample events are pull 7, start 8, after 10, whole a 7/100, whole b 7/100, whole c 7/100, whole d 7/100, whole e 7/100, whole f 7/100, after 50, <events>
    Then the samples started were 0 1 2 3 4 5 6 7 <works>
    And the sample work cancelled was <cancelled>

    Examples:
      | percent | events                                                   | works       | cancelled |
      | 0       | tokens h 7/10, start                                     | none        | none      |
      | 11      | tokens h 7/10, start                                     | none        | none      |
      | 12      | tokens h 7/10, start 2                                   | 7<10! none  | none      |
      | 12      | tokens g 7/10, tokens h 7/9, start 2                     | 7<9! none   | none      |
      | 50      | tokens g 7/10, tokens h 7/9, start 3                     | 7<9! 6<10! none | none  |
      | 50      | tokens g 7/100, tokens h 7/100, after 90, tokens h 7/200, tokens g 7/899, pull 7, start | 7<300! | none |
      | 50      | tokens g 7/500, tokens h 7/600, start                    | none        | none      |
      | 12      | tokens h 7/10, start, after 1, tokens i 7/97             | 7<10!       | h         |
      | 12      | tokens h 7/10, start, after 1, tokens h 7/80, tokens i 7/3, after 100, tokens i 7/94 | 7<10! | i |

  Scenario Outline: A straggler that can't be hedged is migrated with its text
    # Guards against steps delayed by an engine that hangs when the hedge budget is spent. The text so
    # far is resumed on another engine and the old attempt is cancelled, so no token is generated twice.
    Given a collector of 1 groups of 8 samples, hedges of <percent> percent, then migration
    When its sample events are pull 7, start 8, after 10, whole a 7/100, whole b 7/100, whole c 7/100, whole d 7/100, whole e 7/100, whole f 7/100, whole g 7/100, after 50, <events>
    Then the samples started were 0 1 2 3 4 5 6 7 <works>
    And the sample work cancelled was <cancelled>
    And the sample pulls were answered empty; <answer>

    Examples:
      | percent | events                                                             | works          | cancelled | answer              |
      | 0       | tokens h 7/10, start 2, whole h 7/9, whole i 8/3, pull 7 0-6       | 7<10 none      | h         | 7:7/10+8/3 complete |
      | 11      | tokens h 7/10, start, whole i 8/3, pull 7 0-6                      | 7<10           | h         | 7:7/10+8/3 complete |
      | 0       | start, whole i 8/3, pull 7 0-6                                     | 7              | h         | 7:8/3 complete      |
      | 0       | tokens h ?/10, start, settled h 7, pull 7 0-6                      | none           | none      | 7:7/10 complete     |
      | 0       | tokens h 7/10, start, after 60, start, whole j 8/3, pull 7 0-6     | 7<10 7<10      | h i       | 7:7/10+8/3 complete |
      | 12      | tokens h 7/10, start, after 20, tokens h 7/2, after 20, start, whole j 8/3, pull 7 0-6 | 7<10! 7<12 | h i | 7:7/12+8/3 complete |
      | 12      | tokens h 7/10, start, after 9, tokens i 7/80, start, whole i 8/3, pull 7 0-6 | 7<10! none | h | 7:7/90+8/3 complete |
