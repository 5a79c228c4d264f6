Feature: Answers whose head or framing is not whole
  The raw server sends the given bytes and closes the connection. "~" stands for CR LF and "_" for LF.

  Scenario Outline: A head that ends early is not an answer
    # Guards against a success that is read from half a head: its headers and its body are missing.
    Given a raw server that answers <bytes>
    When its answer is read whole
    Then the whole answer is cut

    Examples:
      | bytes                                              |
      | HTTP/1.1 200 OK                                    |
      | HTTP/1.1 200 OK~                                   |
      | HTTP/1.1 200 OK~Content-Le                         |
      | HTTP/1.1 200 OK~Content-Length: 0                  |
      | HTTP/1.1 200 OK~Content-Length: 0~                 |
      | HTTP/1.1 200 OK~Content-Length: 0~X-Stamp: a       |
      | HTTP/1.1 503 Busy~Retry-After: 1~                  |
      | HTTP/1.1 100 Continue~~HTTP/1.1 200 OK~            |
      | HTTP/1.1 100 Continue~                             |
      | HTTP/1.1 103 Early Hints~Link: a~                  |

  Scenario Outline: A line that is no header does not end the head
    # Guards against headers that are dropped with what follows a malformed line.
    Given a raw server that answers <bytes>
    When its answer is read whole
    Then the whole answer is cut

    Examples:
      | bytes                                                                   |
      | HTTP/1.1 200 OK~rubbish~Content-Length: 2~~ab                           |
      | HTTP/1.1 200 OK~A: 1~HTTP/1.1 200 OK~Content-Length: 2~~ab              |
      | HTTP/1.1 200 OK~A: 1~ folded~Content-Length: 2~~ab                      |
      | HTTP/1.1 200 OK~A : 1~Content-Length: 2~~ab                             |
      | HTTP/1.1 200 OK~: 1~Content-Length: 2~~ab                               |
      | HTTP/1.1 +200 OK~Content-Length: 2~~ab                                  |

  Scenario Outline: A length that is stated in two ways is not guessed
    # Guards against a body that is cut or joined with the next answer, and looks whole.
    Given a raw server that answers HTTP/1.1 200 OK~<bytes>
    When its answer is read whole
    Then the whole answer is <answer>

    Examples:
      | bytes                                                            | answer |
      | Content-Length: 2~Content-Length: 2~~ab                          | ab     |
      | Content-Length: 2~Content-Length: 1~~ab                          | cut    |
      | Content-Length: +2~~ab                                           | cut    |
      | Content-Length: -2~~ab                                           | cut    |
      | Content-Length: two~~ab                                          | cut    |
      | Content-Length: 2~Transfer-Encoding: chunked~~2~ab~0~~           | cut    |
      | Transfer-Encoding: gzip, chunked~~2~ab~0~~                       | cut    |
      | Transfer-Encoding: gzip~~ab                                      | cut    |

  Scenario Outline: A chunk whose framing is not whole is not the end of a body
    # Guards against half a body as a success: a size that is cut reads as a smaller one, even as 0.
    Given a raw server that answers HTTP/1.1 200 OK~Transfer-Encoding: chunked~~<bytes>
    When its answer is read whole
    Then the whole answer is <answer>

    Examples:
      | bytes                       | answer |
      | 2;a=b~ab~0~~                | ab     |
      | 2_ab_0__                    | cut    |
      | 2~ab~0~A: 1~~               | ab     |
      | 2~ab~0~                     | ab     |
      | 2~ab~0~A: 1~                | ab     |
      | 2~ab~0                      | cut    |
      | 2~ab~00                     | cut    |
      | 2~abXY0~~                   | cut    |
      | 2~ab~-1~c~0~~               | cut    |
      | 2~ab~0x1~c~0~~              | cut    |
      | 2~ab~~0~~                   | cut    |

  Scenario Outline: A connection with bytes beyond an answer is not used again
    # Guards against the next request reading the rest of a surplus answer, which may begin anywhere.
    Given a raw server that keeps its connection and answers <bytes>
    When two requests are made one after the other
    Then the raw server saw 2 connections

    Examples:
      | bytes                                                                      |
      | HTTP/1.1 200 OK~Content-Length: 2~~abHTTP/1.1 200 OK~Content-Length: 2~~cd |
      | HTTP/1.1 200 OK~Content-Length: 2~~ab~                                     |
      | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~2~ab~0~~0~~                    |

  Scenario: An interim answer is not the final one
    # Guards against the final answer being read as that of the next request.
    Given a raw server that answers HTTP/1.1 103 Early Hints~Link: a~~HTTP/1.1 200 OK~Content-Length: 2~~ab
    When its answer is read whole
    Then the whole answer is ab
