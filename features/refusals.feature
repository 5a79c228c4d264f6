Feature: How a batch runner sends texts to servers that refuse
  Simulated time. Each of 4 servers runs 12 texts at once, each for a second, and queues 12 more. While it loads weights it finishes
  the texts that it runs and refuses all others. Texts are windowed: a window limits those in flight at a server. Refused ones are resent.

  Scenario Outline: A server that loads weights is tried with one text at a time
    # A loading server has an empty queue and so looks least loaded: every waiting text was sent to it,
    # some eleven at a time, six times a second. Each used a connection, was refused, and then missed
    # a slot that became free at another server. A trial is a single text sent to a server that refuses.
    # With too few trials a server stays idle after its load, also if the load was slow.
    Given a runner with <texts> texts for 4 servers
    When <loading> of them load weights for <seconds> s
    Then each loading server refuses at most <most> trials
    And each loaded server with a free slot gets a text within <idle> s, and is full within another 0.1 s

    Examples:
      | texts | loading | seconds | most | idle |
      | 200   | 1       | 0.3     | 28   | 0.2  |
      | 200   | 2       | 0.9     | 32   | 0.3  |
      | 200   | 2       | 2.8     | 38   | 0.6  |
      | 200   | 4       | 0.9     | 32   | 0.3  |
      | 400   | 2       | 8.0     | 60   | 0.6  |

  Scenario: A server that refuses permanently is tried a few times a second
    # No text is delayed, as the other servers accept them. Trials in a tight loop would use up connections.
    Given a runner with 2000 texts for 4 servers
    When 1 of them load weights for 40 s
    Then each loading server refuses at most 140 trials
    And at least 0.99 of the texts that the other servers can run have ended

  Scenario Outline: A text that ends at a loading server does not end the refusing state
    # Texts that ran before the load are finished. If the end of one counted as acceptance, a whole
    # window of texts would be sent each time, and all refused.
    Given a router with the peers p1 p2
    When p1 refuses a windowed request after a long one began
    And the long one ends well
    Then p1 accepts no windowed request yet
    When a trial after 0.5 s <is taken> there
    Then p1 accepts windowed requests again

    Examples:
      | is taken             |
      | begins               |
      | is not refused       |

  Scenario Outline: A refusal expires during the pause between two steps
    # Guards against a server that gets no work for several steps. It refused at the end of a step and
    # was not tried again; if the refusal did not expire, the next step would begin with a single trial
    # there, just when weights load again, and queue all other texts elsewhere. A server that has refused
    # for longer is assumed to go on refusing for longer.
    Given 4 servers of 12 slots, of which one refused 16 texts at once and then trials for <refused> s
    When a step of 48 texts is sent <pause> s later
    Then that server gets <least> to <most> of them

    Examples:
      | refused | pause | least | most |
      | 0       | 0.05  | 0     | 0    |
      | 0       | 0.5   | 1     | 1    |
      | 0       | 1.2   | 10    | 14   |
      | 0       | 3.8   | 10    | 14   |
      | 2.8     | 1.2   | 1     | 1    |
      | 2.8     | 3.8   | 10    | 14   |
      | 20      | 3.8   | 1     | 1    |

  Scenario: A server that was slow gets its share of batches again
    # A slow server is ejected. If windowed texts went only to the other servers, none would probe it,
    # and that process would not use a fourth of the engines for the rest of the day.
    Given 4 servers of 12 slots, of which one is ejected for being slow
    When steps of 48 texts are sent every 4 s for 40 s, and all servers are equally fast
    Then that server gets 10 to 14 texts of the last step
    And it got at most 2 texts of the first step

  Scenario: A server that refuses has no free slot to offer
    # Guards against texts that are cancelled to be moved, and then refused by one loading server after another.
    Given a router with the peers p1 p2
    When p1 refuses a windowed request after a long one began
    Then only p2 has a free slot to offer
    When a trial after 0.5 s begins there
    And the long one ends well
    Then p1 and p2 have free slots to offer
