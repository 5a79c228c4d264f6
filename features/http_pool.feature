Feature: A pool of persistent HTTP connections
  The raw server sends the given bytes. "~" stands for CR LF and "_" for LF.

  Scenario Outline: A truncated answer is an error
    # A server closes the connection early, or the answer is cut on the way. The caller must not get
    # half a body as a success. An answer is complete only at its stated length, after the last
    # chunk or, if neither is stated, at an orderly end of the connection.
    Given a raw server that answers <bytes>
    When its answer is read whole
    Then the whole answer is <answer>

    Examples:
      | bytes                                                          | answer |
      | HTTP/1.1 200 OK~Content-Length: 2~~ab                          | ab     |
      | HTTP/1.1 200 OK~Content-Length: 3~~ab                          | cut    |
      | HTTP/1.1 200 OK~Content-Length: 0~~                            | empty  |
      | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~2~ab~0~~           | ab     |
      | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~2~ab~              | cut    |
      | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~2~ab~3~a           | cut    |
      | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~                   | cut    |
      | HTTP/1.1 200 OK~Connection: close~~ab                          | ab     |
      | HTTP/1.1 2                                                     | cut    |
      | rubbish~~                                                      | cut    |

  Scenario Outline: A stream is complete only once its last chunk was read
    # The standard library's readline returns an empty line both at the end and at a truncation, so
    # a sample without its second half would look complete.
    Given a raw server that answers HTTP/1.1 200 OK~<bytes>
    When its answer is read by lines
    Then the lines are <lines>

    Examples:
      | bytes                                              | lines         |
      | Transfer-Encoding: chunked~~4~a_b_~0~~             | a b end       |
      | Transfer-Encoding: chunked~~1~a~3~_b_~0~~          | a b end       |
      | Transfer-Encoding: chunked~~4~a_b_~                | a b cut       |
      | Transfer-Encoding: chunked~~3~a_b~0~~              | a cut         |
      | Content-Length: 4~~a_b_                            | a b end       |
      | Content-Length: 6~~a_b_                            | a b cut       |

  Scenario Outline: A connection is reused if the server keeps it open
    Given a raw server that keeps its connection and answers <bytes>
    When two requests are made one after the other
    Then the raw server saw <connections> connections

    Examples:
      | bytes                                                                                 | connections |
      | HTTP/1.1 200 OK~Content-Length: 2~~ab                                                 | 1           |
      | HTTP/1.1 200 OK~Content-Length: 2~Connection: close~~ab                               | 2           |
      | HTTP/1.1 503 Busy~Content-Length: 2~~no                                               | 1           |
      | HTTP/1.1 429 Busy~Content-Length: 0~~                                                 | 1           |
      | HTTP/1.1 503 Busy~Content-Length: 2~Connection: close~~no                             | 2           |
      | HTTP/1.1 200 OK~Content-Length: 2~Keep-Alive: timeout=0~~ab                           | 2           |

  Scenario Outline: The connections of one step are reused by the next
    # A runner has some thirty texts at an engine at once, then none until the next step. Connections
    # closed in between have to be opened again, which costs the engine time. The limit protects the
    # engine.
    When <used> connections to a server are no longer in use
    Then <closed> of them are closed at once

    Examples:
      | used | closed |
      | 1    | 0      |
      | 24   | 0      |
      | 36   | 0      |
      | 50   | 14     |

  Scenario Outline: An idle connection is used again before it expires
    # Servers close connections that are idle for 5 s. If the last used one were used again first, all but
    # one or two would expire between two steps, and would take room from those that can still be used.
    # Words: +1 frees a connection, -1 uses one, 4s waits.
    Given a pool whose servers close connections that are idle for 5 s
    When the pool's connections are used as <script>
    Then <opened> connections were opened and <closed> closed

    Examples:
      | script                                 | opened | closed |
      | -2 +2 2s -1 +1 2s -1 +1 2s -1 +1 2s -2 | 2      | 0      |
      | -2 +2 4s -2 +2 4s -2                   | 2      | 0      |
      | -2 +2 5s -2                            | 4      | 2      |
      | -36 +36 5s -37 +36                     | 73     | 36     |
      | -36 +36 5s -1 +1                       | 37     | 36     |

  Scenario Outline: A connection that a request can't use gives way to the one that it opens
    # Guards against idle connections that use up a server's limit: each order left one.
    # Words: as above, and r9 makes nine requests with the same id, one after the other.
    Given a pool whose servers close connections that are idle for 5 s
    When the pool's connections are used as <script>
    Then <opened> connections were opened and <closed> closed

    Examples:
      | script         | opened | closed |
      | r1             | 1      | 0      |
      | r9             | 9      | 8      |
      | r9 -1 +1       | 9      | 8      |
      | -2 +2 r9       | 9      | 7      |
      | -2 +2 r2 -2 +2 | 2      | 0      |
      | r1 5s r1       | 2      | 1      |

  Scenario Outline: Unsolicited bytes are not read as the answer to the next request
    # A server sends a second answer, which would reach the caller of the next request. It comes at
    # once or later, complete or in parts.
    Given a raw server that keeps its connection and answers <bytes>
    When two requests are made one after the other
    Then the second answer is ab or a failure

    Examples:
      | bytes                                                                             |
      | HTTP/1.1 200 OK~Content-Length: 2~~abHTTP/1.1 200 OK~Content-Length: 2~~cd        |
      | HTTP/1.1 200 OK~Content-Length: 2~~abHTTP/1.1 200 then OK~Content-Length: 2~~cd   |
      | HTTP/1.1 200 OK~Content-Length: 2~~ab then HTTP/1.1 200 OK~Content-Length: 2~~cd  |
      | HTTP/1.1 200 OK~Content-Length: 2~~ab then rubbish                                |

  Scenario Outline: An address without a port in range is a failure
    # Guards against a connection to another port: the resolver takes a larger one modulo 65536.
    When a request is made to the address <address>
    Then the failure says that no connection was opened

    Examples:
      | address         |
      | 127.0.0.1:65536 |
      | 127.0.0.1:99999 |
      | 127.0.0.1:port  |

  Scenario: A cancelled request ends soon
    # Otherwise the server would work until the deadline for a caller that has disconnected.
    Given a raw server that is silent
    When a request to it is cancelled after 0.2 s
    Then it ends within 1.0 s

  Scenario Outline: A closed connection is distinguished from an ended server
    # Guards against a lost answer reported as a crash, and a crash reported as a lost answer.
    Given a raw server that <does> on a <connection> connection
    When a request to it fails
    Then the failure says that the server <state>

    Examples:
      | does                      | connection | state    |
      | breaks off                | new        | goes on  |
      | breaks off                | kept       | goes on  |
      | cuts its answer           | new        | goes on  |
      | ends                      | new        | ended    |
      | ends                      | kept       | ended    |
      | cuts its answer and ends  | new        | ended    |
      | is silent                 | new        | goes on  |

  Scenario Outline: A request that reached a server before it ended may have run
    # Guards against the answer "not run" for a request that crashed its server.
    Given a raw server that ends on a <connection> connection
    When a request to it fails
    Then the server began it, and the failure says that it may have

    Examples:
      | connection |
      | new        |
      | kept       |

  Scenario: A server that ends during a cancelled request is reported as ended
    # Guards against a request that crashes servers undetected because its callers disconnect early.
    Given a raw server that ends on a kept connection
    When a request to it fails whose caller left before
    Then the failure says that the server ended

  Scenario Outline: A request leaves in as few writes as possible
    # Guards against half a request, such as an order without its body, from a process that is killed
    # or suspended between two writes.
    Given a raw server that answers HTTP/1.1 200 OK~Content-Length: 0~~
    When a request with a body of <bytes> bytes is made by the <client>
    Then it leaves in <writes> writes

    Examples:
      | bytes  | client   | writes |
      | 0      | pool     | 1      |
      | 100    | pool     | 1      |
      | 100    | caller   | 1      |
      | 200000 | pool     | 2      |
