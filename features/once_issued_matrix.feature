Feature: A non-repeatable request runs at most once, with an issued key or at a busy entry
  Steps, checks and events are those of once_matrix.feature.

  Scenario Outline: An issued key names the sidecar that may start it
    # No claim is needed, so the log may be down: each entry sends the request to the sidecar that the
    # key names, which starts it once. When that incarnation ends, its state of the key is lost and the
    # caller gets "unknown". A key that the sidecar has sealed continues with a claim.
    Given a deployment in which every connection of a non-repeatable request can fail
    And the non-repeatable request has an issued key
    When the non-repeatable request is <step>, and then <events>
    And all faults of the non-repeatable request have ended
    Then the non-repeatable request has the answers <answers>
    And a final retry of the non-repeatable request is answered <last>, after <runs> runs in total

    Examples:
      | step                   | events                                                                     | answers            | last    | runs |
      | unsent                 | log hang, ask entry-a, await 1, ask entry-b, await 2                       | done, done         | done    | 1    |
      | unsent                 | ask entry-a, ask entry-b                                                   | done, done         | done    | 1    |
      | unsent                 | kill sidecar, restart sidecar, linked, ask entry-a, await 1                | unknown            | unknown | 0    |
      | dispatched             | kill entry-a, heal link, ask entry-b, await 2                              | cut, done          | done    | 1    |
      | dispatched within 1000 | await 1                                                                    | unknown            | done    | 1    |
      | overtaken              | kill entry-a, ask entry-b, await 2, release link to-server                 | cut, done          | done    | 1    |
      | overtaken              | freeze entry-a, ask entry-b, await 2, release link to-server, thaw entry-a | done, done         | done    | 1    |
      | running                | kill entry-a, log hang, ask entry-b                                        | cut, done          | done    | 1    |
      | running                | kill sidecar, restart sidecar, linked, ask entry-b, await 2                | unknown, unknown   | unknown | 1    |
      | running within 1000    | freeze entry-a, deadline, ask entry-b                                      | unknown/done, done | done    | 1    |
      | running within 1000    | freeze sidecar, ask entry-b 1000, await 2                                  | unknown, unknown   | done    | 1    |
      | finished               | cut call, await 1, ask entry-b                                             | unknown, unknown   | unknown | 1    |
      | returned               | drop link, heal link                                                       | done               | done    | 1    |
      | answered               | kill sidecar, restart sidecar, linked, ask entry-b, await 2                | done, unknown      | unknown | 1    |

  Scenario Outline: An issued key whose sidecar can't reach its service
    # The sidecar refuses and seals the key, so it may be claimed for the other sidecar. While the log is
    # down it can't be claimed, and the caller gets "not run".
    Given a deployment in which every connection of a non-repeatable request can fail but those to the services
    And the non-repeatable request has an issued key
    When the non-repeatable request is <step>, and then <events>
    And all faults of the non-repeatable request have ended
    Then the non-repeatable request has the answers <answers>
    And a final retry of the non-repeatable request is answered <last>, after <runs> runs in total

    Examples:
      | step   | events                                                                     | answers          | last    | runs |
      | unsent | kill service, ask entry-a, await 1                                         | done             | done    | 1    |
      | unsent | kill service, ask entry-a, ask entry-b                                     | done, done       | done    | 1    |
      | unsent | kill service, log refuse, ask entry-a 30000, await 1                       | not-run          | nothing | 0    |
      | unsent | kill service, log refuse, ask entry-a 30000, await 1, ask entry-b, await 2 | not-run, not-run | done    | 1    |

  Scenario Outline: All threads of an entry are busy
    # The entry refuses requests at once because all its threads are busy. It must not answer "not run"
    # for a key that it knows to be claimed.
    Given a deployment whose entries have http_threads set to 10 for a non-repeatable request
    When the non-repeatable request is <step>, and then <events>
    And all faults of the non-repeatable request have ended
    Then the non-repeatable request has the answers <answers>
    And a final retry of the non-repeatable request is answered <last>, after <runs> runs in total

    Examples:
      | step     | events                                    | answers                  | last | runs |
      | unsent   | hold, crowd entry-b, ask entry-b, await 1 | not-run entry-busy       | done | 1    |
      | answered | hold, crowd entry-b, ask entry-b, await 2 | done, unknown entry-busy | done | 1    |

  Scenario: An issued key is never run again after the claim window has passed
    # The caller retries after more claims than any entry keeps. Its key names the sidecar incarnation
    # that started it, which still has the answer; no claim is needed.
    Given a deployment whose entries have claim_window set to 100 for a non-repeatable request
    And the non-repeatable request has an issued key
    When the non-repeatable request is answered, and then others 150, ask entry-b, await 2
    And all faults of the non-repeatable request have ended
    Then the non-repeatable request has the answers done, done
    And a final retry of the non-repeatable request is answered done, after 1 runs in total
