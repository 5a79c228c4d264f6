Feature: Adapters to the platform and to backend servers
  An adapter returns an answer or a typed error, and the error claims no more than is known.

  Scenario Outline: A failed append says whether its record may stand in the log
    # The caller sees an error and has to know if its record can still turn up. The log drops the
    # answer, or the connection before or after the append, or acts later than it is waited for.
    # Only a refusal proves that nothing happened; all else is settled by reading the log.
    Given a log stand-in with the adapter's fault <fault>
    When one record is appended through the log adapter within <budget> ms
    Then the log adapter says that it may have had effect: <effect>
    And after the fault the log stand-in holds <records> records

    Examples:
      | fault                         | budget | effect | records |
      | {"outage": "refuse"}          | 5000   | no     | 0       |
      | {"outage": "hang"}            | 300    | yes    | 0       |
      | {"slow_ms": 600}              | 300    | yes    | 1       |
      | {"lose_before": 1}            | 5000   | yes    | 0       |
      | {"lose_after": 1}             | 5000   | yes    | 1       |
      | {"late": 1, "late_ms": 100}   | 5000   | yes    | 1       |
      | "frozen"                      | 300    | yes    | 1       |

  Scenario: An append over the rate limit has had no effect and says when to come back
    Given a log stand-in with the adapter's fault {"appends_per_second": 1}
    When records are appended through the log adapter until one fails
    Then the log adapter says that it may have had effect: no
    And the log adapter says to come back after 1000 ms

  Scenario Outline: A service call that failed is "not run" only if it cannot have arrived
    # The caller of a request that may not be repeated must learn whether it ran. The service dies,
    # hangs, or drops the connection before or after its run; all but the first look alike from
    # outside, so only the connection that never opened is reported as not run.
    Given a service stand-in with the adapter's fault <fault>
    When the operation book is called through the service adapter within <budget> ms
    Then the service adapter says <result>
    And the service stand-in ran the call <runs> times

    Examples:
      | fault                | budget | result       | runs |
      | {}                   | 5000   | status 200   | 1    |
      | {"fail": 1}          | 5000   | status 500   | 1    |
      | {"outage": "refuse"} | 5000   | status 503   | 0    |
      | {"lose_before": 1}   | 5000   | may have run | 0    |
      | {"lose_after": 1}    | 5000   | may have run | 1    |
      | {"hang": true}       | 300    | may have run | 0    |
      | {"service_ms": 600}  | 300    | may have run | 1    |
      | "frozen"             | 300    | may have run | 1    |

  Scenario Outline: Nothing listens
    # The caller sees a refused connection: no byte of the request was sent, so it has not run.
    When <call> is made through the adapter to a port where nothing listens
    Then the adapter's error says that nothing was done

    Examples:
      | call    |
      | append  |
      | read    |
      | service |
      | load    |
      | generate |
      | version |

  Scenario Outline: An answer that is not what it should be is an error
    # The caller sees a typed error, never an exception and never half an answer. The peer sends
    # something malformed, or closes before the length that it stated, or states none, so that a
    # cut answer could not be told from a whole one.
    When <call> is made through the adapter and answered with <head> and <body>
    Then the adapter's error names <detail> and says that something may have been done

    Examples:
      | call     | head                        | body                                     | detail          |
      | append   | HTTP/1.1 200                | {"first_offset": 3}                      | answer.count    |
      | append   | HTTP/1.1 200                | {"first_offset": true, "count": 1}       | answer.first_offset |
      | append   | HTTP/1.1 200                | [1]                                      | is no object    |
      | append   | HTTP/1.1 200                | nonsense                                 | is not JSON     |
      | append   | HTTP/1.1 200                | nested                                   | RecursionError  |
      | append   | HTTP/1.1 200                | invalid UTF-8                            | is not JSON     |
      | append   | HTTP/1.1 500                | {}                                       | status 500      |
      | append   | HTTP/1.1 200;Content-Length: 99 | {"first_offset": 3, "count": 1}      | IncompleteRead  |
      | append   | HTTP/1.1 200;Connection: close  | {"first_offset": 3, "count": 1}      | states no length |
      | append   | HTTP/1.1 200;Content-Length: 99999999 | endless                        | larger than     |
      | append   | HTTP/1.1 200;Transfer-Encoding: chunked | bad chunk                    | IncompleteRead  |
      | append   | nonsense                    | {}                                       | BadStatusLine   |
      | append   | nothing                     | {}                                       | RemoteDisconnected |
      | read     | HTTP/1.1 200                | {"records": 5}                           | answer.records: is no list |
      | read     | HTTP/1.1 200                | {"records": [5], "first_offset": 0, "next_offset": 1} | answer.records[0] |
      | read     | HTTP/1.1 200                | {"records": [{"offset": 7, "logged_at_ms": 1, "value": {}}], "first_offset": 0, "next_offset": 8} | consecutive |
      | read     | HTTP/1.1 200                | {"records": [{"offset": 0, "logged_at_ms": 1, "value": {}}], "first_offset": 0, "next_offset": 0} | answer.next_offset |
      | hosts    | HTTP/1.1 200                | {"hosts": [{"name": "a", "address": "b:1", "failure_domain": "c", "state": "gone"}]} | hosts[0].state: is neither live nor leaving; answer.hosts[0].address |
      | hosts    | HTTP/1.1 503                | {}                                       | status 503      |
      | service  | HTTP/1.1 200;Content-Length: 99 | half                                 | IncompleteRead  |
      | service  | HTTP/1.1 200;Connection: close  | half                                 | states no length |
      | load     | HTTP/1.1 200                | {"version": "7", "loading": 1}           | answer.version: is no whole number from 0 on; answer.loading |
      | load     | HTTP/1.1 500                | {"version": null}                        | status 500      |
      | report   | HTTP/1.1 200                | {"running": -1, "waiting": 0, "slots": 8} | answer.running |
      | generate | HTTP/1.1 500                | {}                                       | status 500      |
      | stream   | HTTP/1.1 200                | {"text": "a ", "tokens": 1}              | without its last line |
      | stream   | HTTP/1.1 200;Content-Length: 99 | {"text": "a ", "tokens": 1}          | cut or is too long |
      | stream   | HTTP/1.1 200;Connection: close  | {"text": "a ", "tok                  | cut or is too long |
      | stream   | HTTP/1.1 200                | {"text": 5, "tokens": -1}                | line.text: is no text; line.tokens |
      | stream   | HTTP/1.1 200                | {"text": "\ud800", "tokens": 1}          | line.text       |
      | stream   | HTTP/1.1 200;Transfer-Encoding: chunked | bad chunk                    | without its last line |

  Scenario: An engine's refusals say that nothing was done
    When load is made through the adapter and answered with HTTP/1.1 409 and {"reason": "stale-fencing"}
    Then the adapter's error names stale-fencing and says that nothing was done
    When load is made through the adapter and answered with HTTP/1.1 503;Retry-After: 2 and {}
    Then the adapter's error names status 503 and says that nothing was done
    And the adapter's error says to come back after 2000 ms
    When generate is made through the adapter and answered with HTTP/1.1 503;Retry-After: soon and {}
    Then the adapter's error names status 503 and says that nothing was done
    And the adapter's error says to come back after 0 ms

  Scenario Outline: A request that may not be sent twice is sent once
    # The caller sees an error. The server received the request, may have acted on it, and closed
    # the connection without an answer; a client library that sent it again, as it may do with a
    # read on a kept connection, would run it twice.
    When <call> is made twice through one adapter and answered only the first time
    Then the adapter reports an error and its server received <requests> requests

    Examples:
      | call    | requests |
      | append  | 2        |
      | service | 2        |
      | load    | 2        |
      | stream  | 2        |
      | read    | 3        |

  Scenario Outline: Reads go on over a kept connection and survive its end
    # The caller sees answers only. The server closes a kept connection between two reads, and the
    # adapter finds out when it sends; a read does no harm when it is sent again.
    Given a server for the adapter that <closes> after each answer
    When the host list is read 3 times through the adapter
    Then the adapter's server received 3 requests on <connections> connections

    Examples:
      | closes                 | connections |
      | keeps connections open | 1           |
      | closes connections     | 3           |

  Scenario Outline: A server that sends one byte in a while does not stretch the deadline
    # The caller sees an error at its deadline, though the whole answer would come in the end. Each
    # byte arrives in time for a timeout that starts anew with every receive.
    When <call> is made through the adapter and its good answer trickles past the deadline
    Then the adapter's error says that something may have been done

    Examples:
      | call    |
      | append  |
      | read    |
      | service |
      | stream  |

  Scenario Outline: Cancelling a generation wakes its reader and tells the engine
    # The caller's reader waits for a piece that takes minutes. Another thread cancels: the reader
    # gets its one error at once, also from an engine that is paused and obeys only later; then
    # the engine gives the slot back.
    Given an engine stand-in for the adapter that takes 100000 ms for a token
    And a generation read through the engine adapter on another thread
    And the engine stand-in for the adapter is <state>
    When the generation is cancelled through the engine adapter
    Then the engine adapter's reader ends with one error that names cancelled
    And the engine stand-in has 0 generations running and 1 cancelled

    Examples:
      | state   |
      | running |
      | frozen  |
