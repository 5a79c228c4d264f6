Feature: Quarantine of requests that were running when servers crashed
  Servers are A to F. At a crash marked "shared", the process had other requests running at the server.

  Scenario Outline: A request is quarantined after it was running in crashes of several servers
    # Guards against a request that crashes all servers, and against the quarantine of requests that
    # only ran beside it.
    Given the crashes <crashes> of a request
    Then the ledger reports it as <state>

    Examples:
      | crashes                                | state            |
      | none                                   | free             |
      | A                                      | suspect          |
      | A A                                    | suspect          |
      | A shared, B                            | suspect          |
      | A shared, B shared                     | suspect          |
      | A, B                                   | kept for 60 s    |
      | A shared, B, C                         | kept for 60 s    |
      | A shared, B shared, C shared           | kept for 60 s    |
      | A, B, C                                | kept for 120 s   |
      | A, B, C, D                             | kept for 240 s   |
      | A shared, B shared, C shared, D shared | kept for 120 s   |
      | A, B dropped, C                        | kept for 60 s    |
      | A, B dropped                           | suspect          |
      | A dropped                              | free             |
      | answered, A, B                         | free             |
      | A, answered                            | free             |
      | A, B, answered                         | free             |
      | A, answered, B, C                      | free             |

  Scenario Outline: After its quarantine a request may run again, and each further crash doubles the next one
    # Guards against a request that is quarantined for ever, and against one that crashes a server
    # every minute.
    Given the crashes A, B of a request
    When <first> s pass, then server C ends while running it
    And <second> s pass
    Then the ledger reports it as <state>

    Examples:
      | first | second | state            |
      | 59    | 0      | kept for 120 s   |
      | 61    | 0      | kept for 120 s   |
      | 61    | 119    | kept for 1 s     |
      | 61    | 121    | suspect          |
      | 61    | 361    | forgotten        |
      | 181   | 0      | suspect          |

  Scenario Outline: Work of a batch is sent at once, whatever ended while it ran
    # Guards against a training step lost because its items or scorings ran where servers ended.
    Given an entry with the servers Y=ok Z=ok
    And the request ran <how> at the servers <crashed> when they ended
    When it is called as a scoring of a batch
    Then 1 servers got it, the caller gets answered, and the entry published 0 crashes

    Examples:
      | how           | crashed             |
      | beside others | A B                 |
      | beside others | A B C               |
      | beside others | A B C D             |
      | alone         | A B C D             |
      | alone         | A B C D E F G H I J |

  Scenario Outline: The end of a server is no crash of the work of a batch that ran there
    # Guards against an item that is barred at every entry, and when a later batch contains it again.
    Given an entry with the servers <servers>
    When it is called as a scoring of a batch
    Then 1 servers got it, the caller gets unresolved, and the entry published 0 crashes

    Examples:
      | servers       |
      | A=ends        |
      | A=ends B=ends |
      | A=lost        |

  Scenario Outline: A request is identified by its content, not by its id
    # Guards against a repeat taken for another request owing to its new id, and the reverse.
    Given a request whose <part> differs from another's
    Then the two requests count as <same>

    Examples:
      | part         | same    |
      | id           | one     |
      | header       | one     |
      | organisation | two     |
      | host         | two     |
      | method       | two     |
      | target       | two     |
      | body         | two     |
      | surrogate    | two     |

  Scenario Outline: Only unplanned ends of servers count as crashes of a request
    # Guards against crashes counted for planned ends, lost answers and requests that never arrived.
    Given an entry with the servers <servers>
    When a request is called that may be sent to <attempts> servers
    Then <sent> servers got it, the caller gets <outcome>, and the entry published <crashes> crashes

    Examples:
      | servers                          | attempts | sent | outcome    | crashes |
      | A=ends B=ends C=ends             | 3        | 2    | unresolved | 2       |
      | A=ends                           | 3        | 1    | unresolved | 1       |
      | A=lost B=lost C=lost             | 3        | 3    | unresolved | 0       |
      | A=refuses B=refuses              | 3        | 0    | refused    | 0       |
      | A=ends-leaving B=ends-leaving    | 2        | 2    | unresolved | 0       |
      | A=ends-unlisted B=ends-unlisted  | 2        | 2    | unresolved | 0       |
      | A=fails B=fails                  | 2        | 2    | answered   | 0       |

  Scenario Outline: The unannounced loss of a server is a crash of the requests that it did not answer
    # Guards against a missed crash when a server stops answering, or restarts before it is found gone.
    Given an entry with the servers A=<behaves>
    When a request is called that may be sent to 1 servers
    And <seconds> s later server A <changes>
    Then the entry published <crashes> crashes

    Examples:
      | behaves | seconds | changes                        | crashes |
      | lost    | 0       | is gone from the list          | 1       |
      | silent  | 0       | is gone from the list          | 1       |
      | lost    | 7       | is gone from the list          | 1       |
      | lost    | 9       | is gone from the list          | 0       |
      | lost    | 0       | starts again under its id      | 1       |
      | lost    | 0       | has a successor at its address | 1       |
      | lost    | 0       | leaves and is gone             | 0       |
      | lost    | 0       | answers another and is gone    | 0       |
      | refuses | 0       | is gone from the list          | 0       |
      | ok      | 0       | is gone from the list          | 0       |
      | ends    | 0       | is gone from the list          | 1       |

  Scenario: A server that is missing from the list only during an outage has not crashed
    # Guards against crashes counted for servers whose registration expired in an outage of the platform.
    Given an entry with the servers A=lost
    When 0 s later server A is gone from the list
    And server A is listed again
    And a request is called that may be sent to 1 servers
    Then the entry published 0 crashes

  Scenario Outline: Only an answer of a server that ran the request clears its crashes
    # Guards against a cause that is cleared because a server gave it up or refused it.
    Given an entry with the servers A=<answer>
    And in an earlier attempt of the request, a server ended
    When a request is called that may be sent to 1 servers
    Then the entry <belief> it

    Examples:
      | answer | belief        |
      | ok     | clears        |
      | 404    | clears        |
      | fails  | still suspects |
      | 504    | still suspects |
      | full   | still suspects |
      | other  | still suspects |
      | lost   | still suspects |

  Scenario: A quarantined request is refused at once, as not run, with a retry time
    # Guards against a caller that waits, or retries at once, while no server will run its request.
    Given an entry with the servers A=ends B=ends
    When a request is called that may be sent to 3 servers
    And it is called again with a new id
    Then it is refused with a retry time of 55 to 60 s, and no server got it
    And a request with another body goes to servers

  Scenario Outline: A request with a recorded crash is not hedged
    # Guards against a hedge that crashes a second server together with the first.
    Given an entry with the servers A=slow B=slow
    And in an earlier attempt of the request, <before>
    When a request is called that may be sent to 3 servers
    Then <sent> servers got it, the caller gets answered, and the entry published 0 crashes

    Examples:
      | before                                            | sent |
      | no server ended                                   | 2    |
      | a server ended                                    | 1    |
      | a server ended, and its answer is on its way back | 1    |

  Scenario Outline: Crashes reach every entry, and a new entry reads the earlier ones
    # Guards against a request that crashes servers again through each entry, and after each restart.
    Given two entries on one log that is <log>
    When server A ends while running a request of the first entry, and server B of the <other>
    Then the request is quarantined at <kept> within 2 s

    Examples:
      | log             | other  | kept                     |
      | there           | first  | both                     |
      | there           | second | both                     |
      | away for a time | first  | both                     |
      | away for a time | second | both                     |
      | away            | first  | the first                |
      | there           | first  | a third that starts then |

  Scenario: Crashes that no longer count are removed from the log
    # Guards against crash records that accumulate for ever.
    Given two entries on one log that is there
    When server A ends while running a request of the first entry, and server B answers it at the second
    Then no entry suspects the request, and the log holds no crash

  Scenario Outline: Crash records that can't be decoded are ignored
    # Guards against a foreign record that stops the reader or quarantines a sound request.
    Then a record of a crash with key <key> and value <value> changes nothing

    Examples:
      | key   | value  |
      | f/r   | ff     |
      | f/r   | a0     |
      | f/r   | 81f5   |
      | f     | 826141f5 |
      | /r    | 826141f5 |

  Scenario Outline: A request under which two servers ended is not sent to the last one
    # Guards against a service that one request, sent again by several callers, leaves without a server.
    Given an entry with the servers <servers>
    And the request ran beside others at the servers <crashed> when they ended
    When a request is called that may be sent to 3 servers
    Then <sent> servers got it, the caller gets <outcome>, and the entry published 0 crashes

    Examples:
      | servers             | crashed | sent | outcome  |
      | A=ok B=ok C=ok      | A B     | 0    | refused  |
      | A=ok B=ok C=ok      | A       | 1    | answered |
      | A=ok B=ok C=ok D=ok | A B     | 1    | answered |
      | B=ok                | A X     | 0    | refused  |
      | B=ok                | A       | 1    | answered |

  Scenario: A request that is kept from the last server is told to come back soon
    # Guards against a caller that is kept waiting although only its own request may be the cause.
    Given an entry with the servers A=ok B=ok C=ok
    And the request ran beside others at the servers A B when they ended
    When it is called again with a new id
    Then it is refused with a retry time of 0 to 1 s, and no server got it
    And a request with another body goes to servers
