Feature: The front program as a process, against a stand-in of the platform
  The store, one engine and one service are HTTP stand-ins; the program is the one that is deployed.

  Scenario: Calls, batches, weight orders and metrics from end to end
    Given the platform's stand-in and the front program
    Then a call is answered by the service, unchanged
    And a batch of 3 items is accepted, listed with scores, read again, ended
    And a version that is named is ordered once, with a fencing number
    And the metrics address shows what was done

  Scenario Outline: Each request that can't be served gets the status for its cause
    # A 503 promises that the request did not run and says when to retry, so a request that may have
    # run, or a batch that may still be accepted, must get another status. A 404 for a batch is certain
    # only after the index was read.
    Given the platform's stand-in and the front program
    When <trouble>
    Then <request> is answered <status>

    Examples:
      | trouble               | request              | status |
      | nothing happens       | a call               | 200    |
      | nothing happens       | a path without route | 404    |
      | nothing happens       | an unknown batch     | 404    |
      | nothing happens       | a batch without JSON | 400    |
      | the store is down 1 s | a call               | 200    |
      | the store is down 1 s | a batch              | 503    |
      | the store is down 1 s | an unknown batch     | 503    |
      | the service goes away | a call               | 503    |
      | the service goes away | a charge             | 503    |

  Scenario Outline: A rare status or a header of the server's connection is no fault of the answer
    # Guards against a 500 without the server's stamp in place of its answer, and against a request
    # that counts as in progress for ever, so that a planned stop waits for it until its deadline.
    Given the platform's stand-in and the front program
    When the service answers <status> with <headers>
    Then a call is answered <status> with the server's stamp and without these headers
    And it ends with code 0 within 5 s of a SIGTERM

    Examples:
      | status | headers                                 |
      | 299    | nothing more                            |
      | 520    | nothing more                            |
      | 200    | Upgrade: h2c                            |
      | 200    | TE: trailers                            |
      | 200    | Trailer: Digest                         |
      | 200    | Proxy-Authenticate: Basic               |

  Scenario: A planned stop answers the requests in progress and exits with 0
    # The platform stops hosts one by one. Requests in progress and new ones on kept connections are
    # answered, and the connection is closed so that the client's next request goes to another host.
    Given the platform's stand-in and the front program
    When it is told to stop while a call of 1.0 s runs
    Then the call is answered whole
    And it is not ready while it stops
    And it ends with exit code 0 within 8 s

  Scenario: SIGHUP does not end the program
    Given the platform's stand-in and the front program
    When it gets SIGHUP
    Then a call is answered by the service, unchanged

  Scenario Outline: A signal during startup has the same effect as later
    # Settings change, or a host is stopped, half a second after the program started, while its libraries
    # are still being imported. A process that the signal kills would count as a crash.
    Given a front program that is still loading its libraries
    When it gets <signal> meanwhile
    Then it <does>

    Examples:
      | signal  | does             |
      | SIGHUP  | goes on          |
      | SIGTERM | ends with code 0 |

  Scenario: Every fault of a settings file is printed
    When the front program is started with a settings file that lacks ip and listen.ready
    Then it ends with exit code 2 and names ip and listen.ready
