Feature: A request that may not be repeated, with an issued key, or at an entry without room
  The same steps, checks and words as in the matrix of processes and links (once_matrix).

  Scenario Outline: An issued key names the sidecar that may start it
    # No claim is made, so the log may be down; each entry sends the request to the sidecar that the key
    # names, which starts it once. With that run of the sidecar everything it knew of the key is gone,
    # and the caller is told unknown. What the sidecar sealed goes on by a claim.
    Given a deployment in which every connection of a once request can fail
    And the once request has an issued key
    When the once request is <step>, and then <events>
    And the once faults are over
    Then the once answers are <answers>
    And a last once retry is answered <last>, after <runs> runs in all

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
    # down it can't be, and the caller is told that it did not run.
    Given a deployment in which every connection of a once request can fail but those to the services
    And the once request has an issued key
    When the once request is <step>, and then <events>
    And the once faults are over
    Then the once answers are <answers>
    And a last once retry is answered <last>, after <runs> runs in all

    Examples:
      | step   | events                                                                     | answers          | last    | runs |
      | unsent | kill service, ask entry-a, await 1                                         | done             | done    | 1    |
      | unsent | kill service, ask entry-a, ask entry-b                                     | done, done       | done    | 1    |
      | unsent | kill service, log refuse, ask entry-a 30000, await 1                       | not-run          | nothing | 0    |
      | unsent | kill service, log refuse, ask entry-a 30000, await 1, ask entry-b, await 2 | not-run, not-run | done    | 1    |

  Scenario Outline: An entry has no thread to spare
    # The entry refuses at once for want of threads. That is no reason to say that a key did not run
    # which it knows to have been claimed.
    Given a deployment whose entries have http_threads set to 10 for a once request
    When the once request is <step>, and then <events>
    And the once faults are over
    Then the once answers are <answers>
    And a last once retry is answered <last>, after <runs> runs in all

    Examples:
      | step     | events                                    | answers                  | last | runs |
      | unsent   | hold, crowd entry-b, ask entry-b, await 1 | not-run entry-busy       | done | 1    |
      | answered | hold, crowd entry-b, ask entry-b, await 2 | done, unknown entry-busy | done | 1    |

  Scenario: An issued key outlives the claims that are kept, and is never run again
    # A caller comes back after more claims than any entry remembers. Its key names the sidecar run
    # that started it, which still has the answer; no claim is asked for.
    Given a deployment whose entries have claim_window set to 100 for a once request
    And the once request has an issued key
    When the once request is answered, and then others 150, ask entry-b, await 2
    And the once faults are over
    Then the once answers are done, done
    And a last once retry is answered done, after 1 runs in all
