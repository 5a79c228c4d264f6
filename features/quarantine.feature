Feature: Requests under which servers ended are kept from servers
  Servers are A to F; a crash marked "shared" came while the process had other requests there.

  Scenario Outline: A request is kept back once it recurs in crashes of several servers
    # Guards against a request that ends all servers, and against one kept back for its neighbours' sake.
    Given the crashes <crashes> of a request
    Then the ledger calls it <state>

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

  Scenario Outline: A quarantine ends with a trial, and each further crash doubles it
    # Guards against a request that is kept back for ever, and against one that ends servers every minute.
    Given the crashes A, B of a request
    When <first> s pass, then server C ends under it
    And <second> s pass
    Then the ledger calls it <state>

    Examples:
      | first | second | state            |
      | 59    | 0      | kept for 120 s   |
      | 61    | 0      | kept for 120 s   |
      | 61    | 119    | kept for 1 s     |
      | 61    | 121    | suspect          |
      | 61    | 361    | forgotten        |
      | 181   | 0      | suspect          |

  Scenario Outline: What a batch waits for is tried again soon
    # Guards against a step that is lost for an item which shared its engines with the cause.
    Given the crashes <crashes> of a request
    Then as part of a batch it is kept for <seconds> s

    Examples:
      | crashes                                | seconds |
      | A shared, B shared                     | 0       |
      | A shared, B shared, C shared           | 4       |
      | A shared, B shared, C shared, D        | 8       |
      | A, B, C, D                             | 16      |

  Scenario Outline: What a request is, whatever its ids
    # Guards against a return under a new id that passes for another request, and the reverse.
    Given a request whose <part> differs from another's
    Then the two are <same>

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

  Scenario Outline: Which ends of servers count against a request
    # Guards against crashes counted for planned ends, lost answers and requests that never arrived.
    Given an entry with the servers <servers>
    When a request is called that <attempts> servers may get
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

  Scenario Outline: A server that is lost without a word ended under what it did not answer
    # Guards against a request whose servers fall silent, or start again too soon to be found gone.
    Given an entry with the servers A=<behaves>
    When a request is called that 1 servers may get
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

  Scenario: A server that left the list in an outage and came back did not end
    # Guards against crashes counted for servers whose registration lapsed with the platform away.
    Given an entry with the servers A=lost
    When 0 s later server A is gone from the list
    And server A is listed again
    And a request is called that 1 servers may get
    Then the entry published 0 crashes

  Scenario Outline: Which answers clear a request under which servers ended
    # Guards against a cause that is set free because a server gave it up, or turned it away.
    Given an entry with the servers A=<answer>
    And a server ended under the request before
    When a request is called that 1 servers may get
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

  Scenario: A request that is kept back is rejected at once, as not run, with when to come back
    # Guards against a caller that waits, or comes back at once, for what no server will run.
    Given an entry with the servers A=ends B=ends
    When a request is called that 3 servers may get
    And it comes again with a new id
    Then it is rejected with a time of 55 to 60 s, and no server got it
    And a request with another body goes to servers

  Scenario Outline: A request that a server ended under is not sent to two servers at once
    # Guards against a hedge that ends a second server beside the first.
    Given an entry with the servers A=slow B=slow
    And <before> under the request before
    When a request is called that 3 servers may get
    Then <sent> servers got it, the caller gets answered, and the entry published 0 crashes

    Examples:
      | before                                            | sent |
      | no server ended                                   | 2    |
      | a server ended                                    | 1    |
      | a server ended, and its answer is on its way back | 1    |

  Scenario Outline: Crashes reach every entry, and a new one reads those of before
    # Guards against a request that ends servers anew at each entry, and after each restart.
    Given two entries on one log that is <log>
    When server A ends under a request at the first entry, and server B at the <other>
    Then the request is kept back at <kept> within 2 s

    Examples:
      | log             | other  | kept                     |
      | there           | first  | both                     |
      | there           | second | both                     |
      | away for a time | first  | both                     |
      | away for a time | second | both                     |
      | away            | first  | the first                |
      | there           | first  | a third that starts then |

  Scenario: Crashes that no longer count leave the log
    # Guards against records of crashes that pile up for ever.
    Given two entries on one log that is there
    When server A ends under a request at the first entry, and server B answers it at the second
    Then no entry suspects the request, and the log holds no crash

  Scenario Outline: Records of another writer change nothing
    # Guards against a foreign record that stops the reader, or keeps back a sound request.
    Then a record of a crash with key <key> and value <value> changes nothing

    Examples:
      | key   | value  |
      | f/r   | ff     |
      | f/r   | a0     |
      | f/r   | 81f5   |
      | f     | 826141f5 |
      | /r    | 826141f5 |
