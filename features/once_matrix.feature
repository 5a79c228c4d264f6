Feature: A request that may not be repeated, with every fault at every step
  The request of one key is brought to a step through entry-a, then faults happen and the caller
  asks again, and at last everything is mended and the caller asks once more. Whatever the order,
  the services run the key once at most; every whole answer is the key's own and always the same; a
  refusal as not run comes only while the key has not run, and without a retry it never does.
  The steps: unsent, received (its claim is held before the log), appended (the claim stands, the
  entry can't see it), read back (the entry is paused with the claim in its socket), dispatched
  (held before the sidecar), overtaken (held on a connection that is given up), running, finished
  (the service's answer is held), returned (the sidecar's answer is held), answered.

  Scenario Outline: The entry dies
    # The caller's connection breaks and it asks entry-b, which finds the claim and asks the claimed
    # sidecar. What never came there is sealed and claimed anew; what ran is answered from there.
    # A claim or a request that the dead entry sent may still arrive afterwards, and must not run.
    Given a deployment in which every connection of a once request can fail
    When the once request is <step>, and then <events>
    And the once faults are over
    Then the once answers are <answers>
    And a last once retry is answered <last>, after <runs> runs in all

    Examples:
      | step       | events                                                                                  | answers            | last    | runs |
      | received   | kill entry-a, ask entry-b, await 2                                                      | cut, done          | done    | 1    |
      | received   | kill entry-a, heal log-entry-a, claims 1                                                | cut                | done    | 1    |
      | appended   | kill entry-a, ask entry-b, await 2                                                      | cut, done          | done    | 1    |
      | appended   | kill entry-a, restart entry-a, linked, ask entry-a, ask entry-b                         | cut, done, done    | done    | 1    |
      | appended   | kill entry-a, log silent 1, ask entry-b, await 2                                        | cut, done          | done    | 1    |
      | appended   | kill entry-a, log late 1000, ask entry-b, await 2, back, ask entry-b, await 3, claims 3 | cut, not-run, done | done    | 1    |
      | appended   | kill entry-a, log loses 1, ask entry-b, await 2                                         | cut, not-run       | nothing | 0    |
      | appended   | kill entry-a, freeze other-sidecar, ask entry-b 1000, await 2                           | cut, unknown/done  | done    | 1    |
      | read back  | kill entry-a, ask entry-b, await 2                                                      | cut, done          | done    | 1    |
      | dispatched | kill entry-a, ask entry-b 1000, await 2                                                 | cut, unknown       | done    | 1    |
      | overtaken  | kill entry-a, ask entry-b, await 2, release link to-server                              | cut, done          | done    | 1    |
      | running    | kill entry-a, ask entry-b                                                               | cut, done          | done    | 1    |
      | running    | kill entry-a, kill entry-b, restart entry-b, linked, ask entry-b                        | cut, done          | done    | 1    |
      | finished   | kill entry-a, ask entry-b                                                               | cut, done          | done    | 1    |
      | returned   | kill entry-a, ask entry-b                                                               | cut, done          | done    | 1    |
      | answered   | kill entry-a, ask entry-b, await 2                                                      | done, done         | done    | 1    |

  Scenario Outline: The entry is paused and goes on after its work was taken over
    # The caller asks entry-b, which seals the key where entry-a meant to run it and runs it elsewhere,
    # or joins the run. Then entry-a goes on with all it believed before, its deadline past or not; it
    # must neither run the key again nor say that it did not run.
    Given a deployment in which every connection of a once request can fail
    When the once request is <step>, and then <events>
    And the once faults are over
    Then the once answers are <answers>
    And a last once retry is answered <last>, after <runs> runs in all

    Examples:
      | step                  | events                                                                     | answers            | last         | runs |
      | received              | freeze entry-a, ask entry-b, await 2, thaw entry-a                         | done, done         | done         | 1    |
      | received within 1000  | freeze entry-a, ask entry-b, await 2, deadline                             | done/unknown, done | done         | 1    |
      | appended              | freeze entry-a, ask entry-b, await 2, heal log-entry-a, thaw entry-a       | done, done         | done         | 1    |
      | read back             | ask entry-b, await 2                                                       | done, done         | done         | 1    |
      | read back within 1000 | ask entry-b, await 2, deadline                                             | done/unknown, done | done         | 1    |
      | read back             | ask entry-b, await 2, kill sidecar, restart sidecar                        | done/unknown, done | done/unknown | 1    |
      | dispatched            | freeze entry-a, heal link, ask entry-b, await 2, thaw entry-a              | done, done         | done         | 1    |
      | overtaken             | freeze entry-a, ask entry-b, await 2, release link to-server, thaw entry-a | done, done         | done         | 1    |
      | running               | freeze entry-a, ask entry-b, thaw entry-a                                  | done, done         | done         | 1    |
      | running within 1000   | freeze entry-a, deadline, ask entry-b                                      | unknown/done, done | done         | 1    |
      | returned              | freeze entry-a, drop link, heal link, ask entry-b, await 2, thaw entry-a   | done, done         | done         | 1    |

  Scenario Outline: The sidecar dies or is paused
    # Only the claimed incarnation knows whether the key ran there. Once it is gone the caller is told
    # unknown, now and later, and never has the key run a second time; before the request was sent, the
    # next attempt goes elsewhere. A new incarnation refuses what an entry claimed for the old one.
    Given a deployment in which every connection of a once request can fail
    When the once request is <step>, and then <events>
    And the once faults are over
    Then the once answers are <answers>
    And a last once retry is answered <last>, after <runs> runs in all

    Examples:
      | step                   | events                                                                                     | answers            | last         | runs |
      | appended               | kill sidecar, noticed, heal log-entry-a, await 1                                           | done               | done         | 1    |
      | appended               | ask entry-b, await 2, kill sidecar, restart sidecar, linked, heal log-entry-a, await 1     | done/unknown, done | done/unknown | 1    |
      | dispatched within 1000 | kill sidecar, await 1                                                                      | unknown            | unknown      | 0    |
      | dispatched within 1000 | kill sidecar, restart sidecar, heal link, ask entry-b, await 2                             | unknown, unknown   | unknown      | 0    |
      | overtaken              | kill sidecar, restart sidecar, linked, ask entry-b, await 2                                | unknown, unknown   | unknown      | 0    |
      | running                | kill sidecar, restart sidecar, linked, ask entry-b, await 2                                | unknown, unknown   | unknown      | 1    |
      | running                | kill sidecar, kill entry-a, restart sidecar, restart entry-a, linked, ask entry-a, await 2 | cut, unknown       | unknown      | 1    |
      | finished               | kill sidecar, restart sidecar, linked, ask entry-b, await 2                                | unknown, unknown   | unknown      | 1    |
      | answered               | kill sidecar, restart sidecar, linked, ask entry-b, await 2                                | done, unknown      | unknown      | 1    |
      | appended within 1000   | freeze sidecar, heal log-entry-a, await 1                                                  | unknown            | done         | 1    |
      | appended within 1000   | freeze sidecar, heal log-entry-a, ask entry-b 1000, await 2                                | unknown, unknown   | done         | 1    |
      | running within 1000    | freeze sidecar, ask entry-b 1000, await 2                                                  | unknown, unknown   | done         | 1    |
      | running                | freeze sidecar, ask entry-b, thaw sidecar                                                  | done, done         | done         | 1    |

  Scenario Outline: The service dies or its connection breaks
    # A call whose connection opened may have run, so the key's outcome is unknown for good, however
    # often the caller asks; unless the answer still comes, late, and then a retry has it.
    Given a deployment in which every connection of a once request can fail
    When the once request is <step>, and then <events>
    And the once faults are over
    Then the once answers are <answers>
    And a last once retry is answered <last>, after <runs> runs in all

    Examples:
      | step                 | events                                           | answers          | last    | runs |
      | appended within 1000 | block call to-server, heal log-entry-a, await 1  | unknown          | done    | 1    |
      | appended             | cut call, heal log-entry-a, await 1              | unknown          | unknown | 0    |
      | running              | kill service, await 1, ask entry-b               | unknown, unknown | unknown | 1    |
      | running              | kill entry-a, kill service, ask entry-b, await 2 | cut, unknown     | unknown | 1    |
      | finished             | cut call, await 1, ask entry-b                   | unknown, unknown | unknown | 1    |
      | finished within 1000 | await 1, ask entry-b                             | unknown, done    | done    | 1    |

  Scenario Outline: The service can't be reached at all
    # The connection to the service is refused, so nothing was sent: the sidecar refuses the key as not
    # run, and the next attempt goes to the other sidecar, or the caller hears it while none is left.
    Given a deployment in which every connection of a once request can fail but those to the services
    When the once request is <step>, and then <events>
    And the once faults are over
    Then the once answers are <answers>
    And a last once retry is answered <last>, after <runs> runs in all

    Examples:
      | step     | events                                                      | answers      | last    | runs |
      | appended | kill service, heal log-entry-a, await 1                     | done         | done    | 1    |
      | appended | kill service, kill other-service, heal log-entry-a, await 1 | not-run      | done    | 1    |
      | appended | kill service, kill other-service, heal log-entry-a, await 1 | not-run      | nothing | 0    |
      | running  | kill entry-a, kill service, ask entry-b, await 2            | cut, unknown | unknown | 1    |

  Scenario Outline: The link between entry and sidecar breaks
    # The entry can't know whether its request arrived. It asks over a new link; asking seals a key that
    # did not come, so that a request still on its way on the old connection is refused.
    Given a deployment in which every connection of a once request can fail
    When the once request is <step>, and then <events>
    And the once faults are over
    Then the once answers are <answers>
    And a last once retry is answered <last>, after <runs> runs in all

    Examples:
      | step                   | events                                       | answers          | last | runs |
      | dispatched             | drop link, heal link                         | done             | done | 1    |
      | dispatched within 1000 | await 1                                      | unknown          | done | 1    |
      | overtaken              | await 1, release link to-server              | done             | done | 1    |
      | overtaken              | ask entry-b, await 2, release link to-server | done, done       | done | 1    |
      | running                | drop link                                    | done             | done | 1    |
      | running within 1000    | cut link, ask entry-b 1000, await 2          | unknown, unknown | done | 1    |
      | returned               | drop link, heal link                         | done             | done | 1    |
      | returned within 1000   | cut link, ask entry-b 1000, await 2          | unknown, unknown | done | 1    |

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
      | step     | events                                                              | answers                                  | last    | runs |
      | unsent   | log refuse, ask entry-a 30000, await 1, ask entry-b 30000, await 2  | not-run, not-run                         | done    | 1    |
      | unsent   | log refuse, ask entry-a 30000, await 1                              | not-run                                  | nothing | 0    |
      | unsent   | log hang, ask entry-a 30000, ask entry-b 30000, await 1, await 2    | not-run, not-run                         | done    | 1    |
      | unsent   | log hang, ask entry-a 30000, await 1, ask entry-a 30000, await 2    | not-run log-failing, not-run log-failing | done    | 1    |
      | unsent   | log slow 300, ask entry-a, await 1                                  | done                                     | done    | 1    |
      | unsent   | log loses 1, ask entry-a, await 1                                   | not-run                                  | done    | 1    |
      | unsent   | log loses 2, ask entry-a, await 1, ask entry-a, await 2             | not-run, not-run                         | done    | 1    |
      | unsent   | log silent 1, ask entry-a, await 1                                  | done                                     | done    | 1    |
      | unsent   | log silent 2, ask entry-a, ask entry-b, await 1                     | done, done                               | done    | 1    |
      | unsent   | log late 100, ask entry-a, await 1                                  | done                                     | done    | 1    |
      | unsent   | log late 1000, ask entry-a, await 1, claims 1                       | not-run                                  | nothing | 0    |
      | unsent   | log late 1000, ask entry-a, await 1, claims 1                       | not-run                                  | done    | 1    |
      | unsent   | log late 1500, ask entry-a, await 1, ask entry-b, await 2, claims 2 | not-run, done                            | done    | 1    |
      | received | cut log-entry-a, await 1                                            | not-run                                  | done    | 1    |
      | received | cut log-entry-a, ask entry-b, await 2, await 1                      | done, done                               | done    | 1    |
      | appended | cut log-entry-a, await 1                                            | not-run                                  | nothing | 0    |
      | appended | log refuse, ask entry-b, await 2, await 1                           | not-run, not-run                         | done    | 1    |
      | running  | log hang, ask entry-b                                               | done, done                               | done    | 1    |
      | answered | log refuse, ask entry-b, await 2                                    | done, done                               | done    | 1    |

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
      | step     | events                                                                                                         | answers                        | last    | runs |
      | unsent   | block log-entry-b to-client, ask entry-a, await 1, ask entry-b, await 2                                        | done, done                     | done    | 1    |
      | unsent   | block log-entry-b to-client, hold, ask entry-a 1000, runs, ask entry-b, await 2                                | unknown, unknown still-running | done    | 1    |
      | unsent   | block log-entry-b to-client, ask entry-a, await 1, kill sidecar, ask entry-b, await 2                          | done, unknown                  | unknown | 1    |
      | unsent   | block log-entry-b to-client, ask entry-a, await 1, kill sidecar, restart sidecar, linked, ask entry-b, await 2 | done, unknown                  | unknown | 1    |
      | answered | log refuse, kill entry-b, restart entry-b, linked, ask entry-b, await 2                                        | done, done                     | done    | 1    |
      | answered | log refuse, kill entry-b, restart entry-b, ask entry-b, await 2                                                | done, unknown starting         | done    | 1    |
      | unsent   | log refuse, kill entry-b, restart entry-b, linked, ask entry-b, await 1                                        | unknown                        | done    | 1    |
      | unsent   | log refuse, kill desk-a, ask entry-b, await 1                                                                  | unknown                        | done    | 1    |

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

  Scenario: Many keys are each sent to both entries at once
    # Two entries that claim the same key at the same moment must not refuse it in turn.
    Given a deployment in which every connection of a once request can fail
    When 20 once requests are each sent to both entries at the same time
    Then each of the once requests ran once, and both entries gave its answer

  Scenario: An issued key outlives the claims that are kept, and is never run again
    # A caller comes back after more claims than any entry remembers. Its key names the sidecar run
    # that started it, which still has the answer; no claim is asked for.
    Given a deployment whose entries have claim_window set to 100 for a once request
    And the once request has an issued key
    When the once request is answered, and then others 150, ask entry-b, await 2
    And the once faults are over
    Then the once answers are done, done
    And a last once retry is answered done, after 1 runs in all
