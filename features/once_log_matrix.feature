Feature: A non-repeatable request runs at most once while the log or its links fail
  Steps, checks and events are those of once_matrix.feature. An entry knows claims only from the log;
  these rows cover keys whose claims an entry can't read.

  Scenario Outline: The log is down, slow, or its answers are lost
    # A request is never sent for a claim that was not read back, even if its record appears late; it is
    # refused at once, long before its deadline of half a minute. If the append of a claim succeeds but
    # its answer is lost, the claim is read back and the request is sent.
    Given a deployment in which every connection of a non-repeatable request can fail
    When the non-repeatable request is <step>, and then <events>
    And all faults of the non-repeatable request have ended
    Then the non-repeatable request has the answers <answers>
    And a final retry of the non-repeatable request is answered <last>, after <runs> runs in total

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
    # Both entries claim the key before either reads the other's claim. The first claim in the log
    # counts; the other entry waits for that run and returns the same answer.
    Given a deployment in which every connection of a non-repeatable request can fail
    When the non-repeatable request is <step>, and then <events>
    And all faults of the non-repeatable request have ended
    Then the non-repeatable request has the answers <answers>
    And a final retry of the non-repeatable request is answered <last>, after <runs> runs in total

    Examples:
      | step     | events                                                                                                                                              | answers       | last | runs |
      | unsent   | ask entry-a, ask entry-b                                                                                                                            | done, done    | done | 1    |
      | received | ask entry-b, await 2, heal log-entry-a, await 1                                                                                                     | done, done    | done | 1    |
      | appended | ask entry-b, await 2, heal log-entry-a, await 1                                                                                                     | done, done    | done | 1    |
      | unsent   | block log-entry-a to-client, block log-entry-b to-client, ask entry-a, claims 1, ask entry-b, claims 2, heal log-entry-a, heal log-entry-b, await 1 | done, done    | done | 1    |
      | unsent   | hold-open log-entry-b, ask entry-a, await 1, cut link, peers 1, ask entry-b 1500, claims 2, heal log-entry-b, await 2                               | done, unknown | done | 1    |

  Scenario Outline: A claim is appended and not read back
    # The append succeeds but the entry can't read the stream, in which another entry's claim comes first
    # and has run. Sending the request because the append succeeded would run the key twice.
    Given a deployment in which every connection of a non-repeatable request can fail
    When the non-repeatable request is <step>, and then <events>
    And all faults of the non-repeatable request have ended
    Then the non-repeatable request has the answers <answers>
    And a final retry of the non-repeatable request is answered <last>, after <runs> runs in total

    Examples:
      | step   | events                                                                                    | answers       | last    | runs |
      | unsent | hold-open log-entry-a, ask entry-b, await 1, cut link, peers 1, ask entry-a 1000, await 2 | done, unknown | done    | 1    |
      | unsent | hold-open log-entry-a, ask entry-b, await 1, ask entry-a 1000, await 2                    | done, done    | done    | 1    |
      | unsent | hold-open log-entry-a, ask entry-a 1000, await 1                                          | not-run       | nothing | 0    |
      | unsent | hold-open log-entry-a, ask entry-a 1000, await 1, ask entry-b, await 2                    | not-run, done | done    | 1    |

  Scenario Outline: An entry that can't read the log is asked about a key that ran
    # The caller lost the answer and retries at another entry that does not know the claim, because its
    # link to the log is cut or it has just started. It must not answer "not run" but ask the sidecars;
    # if one that may have run the key has ended, it answers "unknown", also for new keys.
    Given a deployment in which every connection of a non-repeatable request can fail
    When the non-repeatable request is <step>, and then <events>
    And all faults of the non-repeatable request have ended
    Then the non-repeatable request has the answers <answers>
    And a final retry of the non-repeatable request is answered <last>, after <runs> runs in total

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
    # Guards against two entries that seal each other's attempts in turn until both refuse the key.
    Given a deployment in which every connection of a non-repeatable request can fail
    When 20 non-repeatable requests are each sent to both entries at the same time
    Then each of the non-repeatable requests ran once, and both entries gave its answer
