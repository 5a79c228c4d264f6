Feature: A request that may not be repeated, while the log or the way to it fails
  The same steps, checks and words as in the matrix of processes and links (once_matrix). What an
  entry knows of a key it has read from the log; these rows are about what it does not know.

  Scenario Outline: The log is down, slow, or its answers are lost
    # A claim that is not read back is never acted on, even when its record turns up late; the refusal
    # comes at once, long before a deadline of half a minute. A claim whose append had its effect
    # without an answer is read back and goes on.
    Given a deployment in which every connection of a once request can fail
    When the once request is <step>, and then <events>
    And the once faults are over
    Then the once answers are <answers>
    And a last once retry is answered <last>, after <runs> runs in all

    Examples:
      | step                 | events                                                              | answers                                  | last    | runs |
      | unsent               | log refuse, ask entry-a 30000, await 1, ask entry-b 30000, await 2  | not-run, not-run                         | done    | 1    |
      | unsent               | log refuse, ask entry-a 30000, await 1                              | not-run                                  | nothing | 0    |
      | unsent               | log hang, ask entry-a 30000, ask entry-b 30000, await 1, await 2    | not-run, not-run                         | done    | 1    |
      | unsent               | log hang, ask entry-a 30000, await 1, ask entry-a 30000, await 2    | not-run log-failing, not-run log-failing | done    | 1    |
      | unsent               | log slow 300, ask entry-a, await 1                                  | done                                     | done    | 1    |
      | unsent               | log loses 1, ask entry-a, await 1                                   | not-run                                  | done    | 1    |
      | unsent               | log loses 2, ask entry-a, await 1, ask entry-a, await 2             | not-run, not-run                         | done    | 1    |
      | unsent               | log silent 1, ask entry-a, await 1                                  | done                                     | done    | 1    |
      | unsent               | log silent 2, ask entry-a, ask entry-b, await 1                     | done, done                               | done    | 1    |
      | unsent               | log late 100, ask entry-a, await 1                                  | done                                     | done    | 1    |
      | unsent               | log late 1000, ask entry-a, await 1, claims 1                       | not-run                                  | nothing | 0    |
      | unsent               | log late 1000, ask entry-a, await 1, claims 1                       | not-run                                  | done    | 1    |
      | unsent               | log late 1500, ask entry-a, await 1, ask entry-b, await 2, claims 2 | not-run, done                            | done    | 1    |
      | received             | cut log-entry-a, await 1                                            | not-run                                  | done    | 1    |
      | received             | cut log-entry-a, ask entry-b, await 2, await 1                      | done, done                               | done    | 1    |
      | appended             | cut log-entry-a, await 1                                            | not-run                                  | nothing | 0    |
      | appended within 1000 | log refuse, ask entry-b, await 2, await 1                           | not-run, not-run                         | done    | 1    |
      | running              | log hang, ask entry-b                                               | done, done                               | done    | 1    |
      | answered             | log refuse, ask entry-b, await 2                                    | done, done                               | done    | 1    |

  Scenario Outline: Both entries are asked at once
    # Both claim the key before either reads the other's claim. The log's order decides; the entry that
    # comes second joins the first one's run and gives the same answer.
    Given a deployment in which every connection of a once request can fail
    When the once request is <step>, and then <events>
    And the once faults are over
    Then the once answers are <answers>
    And a last once retry is answered <last>, after <runs> runs in all

    Examples:
      | step     | events                                                                                                                                              | answers       | last | runs |
      | unsent   | ask entry-a, ask entry-b                                                                                                                            | done, done    | done | 1    |
      | received | ask entry-b, await 2, heal log-entry-a, await 1                                                                                                     | done, done    | done | 1    |
      | appended | ask entry-b, await 2, heal log-entry-a, await 1                                                                                                     | done, done    | done | 1    |
      | unsent   | block log-entry-a to-client, block log-entry-b to-client, ask entry-a, claims 1, ask entry-b, claims 2, heal log-entry-a, heal log-entry-b, await 1 | done, done    | done | 1    |
      | unsent   | hold-open log-entry-b, ask entry-a, await 1, cut link, peers 1, ask entry-b 1500, claims 2, heal log-entry-b, await 2                               | done, unknown | done | 1    |

  Scenario Outline: A claim is appended and not read back
    # The log answers the append, and the entry can't read the stream. Another entry's claim stood first
    # and its request has run. To act on the append's success alone would run the key a second time.
    Given a deployment in which every connection of a once request can fail
    When the once request is <step>, and then <events>
    And the once faults are over
    Then the once answers are <answers>
    And a last once retry is answered <last>, after <runs> runs in all

    Examples:
      | step   | events                                                                                    | answers       | last    | runs |
      | unsent | hold-open log-entry-a, ask entry-b, await 1, cut link, peers 1, ask entry-a 1000, await 2 | done, unknown | done    | 1    |
      | unsent | hold-open log-entry-a, ask entry-b, await 1, ask entry-a 1000, await 2                    | done, done    | done    | 1    |
      | unsent | hold-open log-entry-a, ask entry-a 1000, await 1                                          | not-run       | nothing | 0    |
      | unsent | hold-open log-entry-a, ask entry-a 1000, await 1, ask entry-b, await 2                    | not-run, done | done    | 1    |

  Scenario Outline: An entry that can't read the log is asked about a key that ran
    # The caller lost the answer and asks another entry, which does not know of the claim: its link to
    # the log is cut, or it has just been started. It may not say that the request did not run; it asks
    # the sidecars, and where one that may have run it is gone, it says unknown, also of a new key.
    Given a deployment in which every connection of a once request can fail
    When the once request is <step>, and then <events>
    And the once faults are over
    Then the once answers are <answers>
    And a last once retry is answered <last>, after <runs> runs in all

    Examples:
      | step     | events                                                                                                              | answers                        | last    | runs |
      | unsent   | block log-entry-b to-client, ask entry-a, await 1, ask entry-b 1000, await 2                                        | done, done                     | done    | 1    |
      | unsent   | block log-entry-b to-client, hold, ask entry-a 1000, runs, ask entry-b 1000, await 2                                | unknown, unknown still-running | done    | 1    |
      | unsent   | block log-entry-b to-client, ask entry-a, await 1, kill sidecar, ask entry-b 1000, await 2                          | done, unknown                  | unknown | 1    |
      | unsent   | block log-entry-b to-client, ask entry-a, await 1, kill sidecar, restart sidecar, linked, ask entry-b 1000, await 2 | done, unknown                  | unknown | 1    |
      | answered | log refuse, kill entry-b, restart entry-b, linked, ask entry-b, await 2                                             | done, done                     | done    | 1    |
      | answered | log refuse, kill entry-b, restart entry-b, ask entry-b, await 2                                                     | done, unknown starting         | done    | 1    |
      | unsent   | log refuse, kill entry-b, restart entry-b, linked, ask entry-b, await 1                                             | unknown                        | done    | 1    |
      | unsent   | log refuse, kill desk-a, ask entry-b, await 1                                                                       | unknown                        | done    | 1    |

  Scenario: Many keys are each sent to both entries at once
    # Two entries that claim the same key at the same moment must not refuse it in turn.
    Given a deployment in which every connection of a once request can fail
    When 20 once requests are each sent to both entries at the same time
    Then each of the once requests ran once, and both entries gave its answer
