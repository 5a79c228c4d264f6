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
      | appended   | kill entry-a, heal log-entry-a, restart entry-a, linked, ask entry-a, ask entry-b       | cut, done, done    | done    | 1    |
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
