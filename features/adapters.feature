Feature: Adapters to the platform and to backend servers
  An adapter returns an answer or a typed error, which says "no effect" only if that is certain.

  Scenario Outline: A failed append says whether its record may be in the log
    # The caller gets an error and has to know whether its record can still appear. The log loses the
    # answer, or closes the connection before or after the append, or appends after the deadline.
    # Only a refusal proves that nothing was appended; in all other cases the log has to be read.
    Given a log stand-in with the adapter's fault <fault>
    When one record is appended through the log adapter within <budget> ms
    Then the log adapter says that the append may have had an effect: <effect>
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

  Scenario: An append over the rate limit has no effect and says when to retry
    Given a log stand-in with the adapter's fault {"appends_per_second": 1}
    When records are appended through the log adapter until one fails
    Then the log adapter says that the append may have had an effect: no
    And the log adapter says to retry after 1000 ms

  Scenario Outline: A failed service call is "not run" only if it cannot have arrived
    # The caller of a request that must not be repeated has to learn whether it ran. The service is down,
    # hangs, or closes the connection before or after the run. All but the first look alike to the
    # client, so only a connection that was never opened is reported as not run.
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

  Scenario Outline: A refused connection proves that nothing was done
    # No byte of the request was sent, so it has not run.
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

  Scenario Outline: A malformed or incomplete answer is an error
    # The caller gets a typed error, never an exception and never a part of an answer. The peer sends
    # malformed data, or closes before the stated length, or states no length, in which case an
    # incomplete answer could not be told from a complete one.
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
      | stream   | HTTP/1.1 200;Transfer-Encoding: chunked | bad chunk                    | IncompleteRead  |

  Scenario: Refusals by an engine are reported as nothing done
    When load is made through the adapter and answered with HTTP/1.1 409 and {"reason": "stale-fencing"}
    Then the adapter's error names stale-fencing and says that nothing was done
    When load is made through the adapter and answered with HTTP/1.1 503;Retry-After: 2 and {}
    Then the adapter's error names status 503 and says that nothing was done
    And the adapter's error says to retry after 2000 ms
    When generate is made through the adapter and answered with HTTP/1.1 503;Retry-After: soon and {}
    Then the adapter's error names status 503 and says that nothing was done
    And the adapter's error says to retry after 0 ms

  Scenario Outline: A request that must not be repeated is sent once
    # The server received the request, may have run it, and closed the connection without an answer.
    # A client library that sent it again, as is allowed for reads on a kept connection, would run it
    # twice. The caller gets an error instead.
    When <call> is made twice through one adapter and answered only the first time
    Then the adapter reports an error and its server received <requests> requests

    Examples:
      | call    | requests |
      | append  | 2        |
      | service | 2        |
      | load    | 2        |
      | stream  | 2        |
      | read    | 3        |

  Scenario Outline: Reads reuse a kept connection and survive its closing
    # The server closes a kept connection between two reads, which the adapter notices only when it
    # sends. Reads are safe to repeat, so the caller gets answers and no errors.
    Given a server for the adapter that <closes> after each answer
    When the host list is read 3 times through the adapter
    Then the adapter's server received 3 requests on <connections> connections

    Examples:
      | closes                 | connections |
      | keeps connections open | 1           |
      | closes connections     | 3           |

  Scenario Outline: A server that sends single bytes slowly does not extend the deadline
    # Each byte arrives within a timeout that restarts with every receive, so such a timeout would never
    # fire. The caller gets an error at its deadline, before the answer is complete.
    When <call> is made through the adapter and its answer arrives byte by byte past the deadline
    Then the adapter's error says that something may have been done

    Examples:
      | call    |
      | append  |
      | read    |
      | service |
      | stream  |

  Scenario Outline: Cancelling a generation unblocks its reader and stops the engine
    # A reader waits for a chunk that takes minutes, and another thread cancels. The reader gets a single
    # error at once, even if the engine is paused and stops the generation only later; the engine then
    # frees the slot.
    Given an engine stand-in for the adapter that takes 100000 ms for a token
    And a generation that another thread reads through the engine adapter
    And the engine stand-in for the adapter is <state>
    When the generation is cancelled through the engine adapter
    Then the engine adapter's reader ends with one error that names cancelled
    And the engine stand-in has 0 generations running and 1 cancelled

    Examples:
      | state   |
      | running |
      | frozen  |
