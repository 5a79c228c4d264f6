Feature: A non-repeatable request runs at most once, whichever process or link fails
  A request is sent through entry-a and brought to a step; then faults happen, the caller may retry,
  all faults end, and the caller retries a last time. In every case the services run the key at most
  once, all complete answers are equal and belong to the key, "not run" is answered only while the
  key has not run, and a key that was answered "not run" does not run unless the caller retries.
  Steps: unsent; received (the claim is held on its way to the log); appended (the log has the claim,
  the entry can't read it); read back (the entry is paused with the claim in its socket); dispatched
  (held before the sidecar); overtaken (held on a connection that is replaced); running; finished
  (the service's answer is held); returned (the sidecar's answer is held); answered.

  Scenario Outline: The entry dies
    # The caller loses its connection and retries through entry-b, which reads the claim and asks the
    # claimed sidecar. If the request never arrived there, its key is sealed and claimed again; if it
    # ran, the sidecar answers. A late claim or request of the dead entry must not run.
    Given a deployment in which every connection of a non-repeatable request can fail
    When the non-repeatable request is <step>, and then <events>
    And all faults of the non-repeatable request have ended
    Then the non-repeatable request has the answers <answers>
    And a final retry of the non-repeatable request is answered <last>, after <runs> runs in total

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

  Scenario Outline: The entry is paused and resumes after another entry has taken over
    # The caller retries through entry-b, which seals the key at the sidecar that entry-a chose and runs
    # it elsewhere, or waits for the run there. Then entry-a resumes with outdated state, before or after
    # its deadline. It must neither run the key again nor answer that it did not run.
    Given a deployment in which every connection of a non-repeatable request can fail
    When the non-repeatable request is <step>, and then <events>
    And all faults of the non-repeatable request have ended
    Then the non-repeatable request has the answers <answers>
    And a final retry of the non-repeatable request is answered <last>, after <runs> runs in total

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
    # Only the claimed incarnation knows whether the key ran. After it has ended, the caller always gets
    # "unknown" and the key is never run again; if the request was not yet sent, the next attempt
    # goes to another sidecar. A new incarnation refuses requests claimed for the old one.
    Given a deployment in which every connection of a non-repeatable request can fail
    When the non-repeatable request is <step>, and then <events>
    And all faults of the non-repeatable request have ended
    Then the non-repeatable request has the answers <answers>
    And a final retry of the non-repeatable request is answered <last>, after <runs> runs in total

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
    # A call whose connection was opened may have run, so the outcome stays "unknown" however often the
    # caller retries, unless the service's answer still arrives late; a retry then returns it.
    Given a deployment in which every connection of a non-repeatable request can fail
    When the non-repeatable request is <step>, and then <events>
    And all faults of the non-repeatable request have ended
    Then the non-repeatable request has the answers <answers>
    And a final retry of the non-repeatable request is answered <last>, after <runs> runs in total

    Examples:
      | step                 | events                                           | answers          | last    | runs |
      | appended within 1000 | block call to-server, heal log-entry-a, await 1  | unknown          | done    | 1    |
      | appended             | cut call, heal log-entry-a, await 1              | unknown          | unknown | 0    |
      | running              | kill service, await 1, ask entry-b               | unknown, unknown | unknown | 1    |
      | running              | kill entry-a, kill service, ask entry-b, await 2 | cut, unknown     | unknown | 1    |
      | finished             | cut call, await 1, ask entry-b                   | unknown, unknown | unknown | 1    |
      | finished within 1000 | await 1, ask entry-b                             | unknown, done    | done    | 1    |

  Scenario Outline: The service can't be reached at all
    # The connection to the service is refused, so nothing was sent. The sidecar answers "not run", and
    # the next attempt goes to the other sidecar; if there is none, the caller gets "not run".
    Given a deployment in which every connection of a non-repeatable request can fail but those to the services
    When the non-repeatable request is <step>, and then <events>
    And all faults of the non-repeatable request have ended
    Then the non-repeatable request has the answers <answers>
    And a final retry of the non-repeatable request is answered <last>, after <runs> runs in total

    Examples:
      | step     | events                                                      | answers      | last    | runs |
      | appended | kill service, heal log-entry-a, await 1                     | done         | done    | 1    |
      | appended | kill service, kill other-service, heal log-entry-a, await 1 | not-run      | done    | 1    |
      | appended | kill service, kill other-service, heal log-entry-a, await 1 | not-run      | nothing | 0    |
      | running  | kill entry-a, kill service, ask entry-b, await 2            | cut, unknown | unknown | 1    |

  Scenario Outline: The link between entry and sidecar breaks
    # The entry can't know whether its request arrived, and asks over a new link. Asking seals a key that
    # has not arrived, so that the request is refused if it still arrives on the old connection.
    Given a deployment in which every connection of a non-repeatable request can fail
    When the non-repeatable request is <step>, and then <events>
    And all faults of the non-repeatable request have ended
    Then the non-repeatable request has the answers <answers>
    And a final retry of the non-repeatable request is answered <last>, after <runs> runs in total

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
