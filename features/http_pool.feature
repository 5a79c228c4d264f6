Feature: Answers of many servers over kept connections
  The server is raw: it sends the bytes given. "~" stands for the end of a line in HTTP.

  Scenario Outline: Only a whole answer is one
    # A server breaks off, or its answer is cut on the way. Taken as whole, half a body would
    # reach the caller as a success. Only the stated length, the last chunk, or an orderly end where
    # neither is stated, says that nothing is missing.
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

  Scenario Outline: A stream has ended only where its last chunk was read
    # The standard library's readline returns an empty line both for the end and for a cut, so a
    # sample that lacks its second half would pass for whole.
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

  Scenario Outline: A connection is used again where the server keeps it
    Given a raw server that keeps its connection and answers <bytes>
    When two requests are made one after the other
    Then the raw server saw <connections> connections

    Examples:
      | bytes                                                                                 | connections |
      | HTTP/1.1 200 OK~Content-Length: 2~~ab                                                 | 1           |
      | HTTP/1.1 200 OK~Content-Length: 2~Connection: close~~ab                               | 2           |
      | HTTP/1.1 200 OK~Content-Length: 2~Keep-Alive: timeout=0~~ab                           | 2           |

  Scenario Outline: The connections of a step are kept for the next
    # A runner has some thirty texts at an engine at once, then none until the next step. What it
    # closes in between it opens again, and the engine pays for each. The bound guards the engine.
    When <used> connections to a server are no longer in use
    Then <closed> of them are closed at once

    Examples:
      | used | closed |
      | 1    | 0      |
      | 24   | 0      |
      | 36   | 0      |
      | 50   | 14     |

  Scenario Outline: Bytes that nobody asked for are no answer to the next request
    # A server sends a second answer. Read as the answer to the next request it would reach another
    # caller. It comes at once or later, whole or in parts.
    Given a raw server that keeps its connection and answers <bytes>
    When two requests are made one after the other
    Then the second answer is ab or a failure

    Examples:
      | bytes                                                                             |
      | HTTP/1.1 200 OK~Content-Length: 2~~abHTTP/1.1 200 OK~Content-Length: 2~~cd        |
      | HTTP/1.1 200 OK~Content-Length: 2~~abHTTP/1.1 200 then OK~Content-Length: 2~~cd   |
      | HTTP/1.1 200 OK~Content-Length: 2~~ab then HTTP/1.1 200 OK~Content-Length: 2~~cd  |
      | HTTP/1.1 200 OK~Content-Length: 2~~ab then rubbish                                |

  Scenario: A request that nobody wants any more ends soon
    # The caller has gone, and the server would work on for nobody until the deadline.
    Given a raw server that is silent
    When a request to it is cancelled after 0.2 s
    Then it ends within 1.0 s

  Scenario Outline: A server that broke off is told from one that has ended
    # Guards against a lost answer that passes for a crash, and a crash that passes for a lost answer.
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
    # Guards against a caller told "not run" of a request that ended its server.
    Given a raw server that ends on a <connection> connection
    When a request to it fails
    Then the server began it, and the failure says that it may have

    Examples:
      | connection |
      | new        |
      | kept       |

  Scenario: A server that ends under a request whose caller has left counts as ended
    # Guards against a request that ends servers unseen because its callers leave early.
    Given a raw server that ends on a kept connection
    When a request to it fails whose caller left before
    Then the failure says that the server ended
