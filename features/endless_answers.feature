Feature: Servers that send bytes without end
  A server reads a request and then sends bytes, no answer, until its caller closes the connection. Each call has 3 s.

  Scenario Outline: A call ends, and its connection is closed, after bytes that have no end
    # Guards against a process that reads such bytes until its memory is full, or after its time is up,
    # and against "not run" for a request that the server may have run.
    Given a server that sends <bytes> without end
    When it is sent <request>
    Then within 4 s the call has ended as one that may have run, and at most <most> MB were received
    And the server has seen its connection close

    Examples: in the head, for each kind of call
      | request   | bytes                 | most |
      | a call    | a status line         | 1    |
      | a call    | one header line       | 1    |
      | a call    | header lines          | 1    |
      | a call    | interim answers       | 1    |
      | an item   | header lines          | 1    |
      | an item   | interim answers       | 1    |
      | an order  | header lines          | 1    |
      | an order  | interim answers       | 1    |
      | a report  | header lines          | 1    |
      | a report  | interim answers       | 1    |
      | a read of the store    | header lines    | 1 |
      | a read of the store    | interim answers | 1 |
      | an append to the store | header lines    | 1 |
      | an append to the store | interim answers | 1 |
      | a usage report         | interim answers | 1 |

    Examples: in the body, for each kind of call
      | request   | bytes                 | most |
      | a call    | a body                | 20   |
      | a call    | chunks                | 20   |
      | a call    | sizes of tiny chunks  | 48   |
      | a call    | trailers              | 48   |
      | an item   | a body                | 20   |
      | an item   | one line              | 2    |
      | an item   | comments              | 2    |
      | an item   | empty lines           | 2    |
      | an item   | lines of one event    | 2    |
      | an item   | trailers              | 48   |
      | an order  | a body                | 2    |
      | an order  | chunks                | 2    |
      | a report  | chunks                | 2    |
      | a read of the store    | a body   | 8    |
      | a read of the store    | chunks   | 8    |
      | a read of the store    | trailers | 48   |
      | an append to the store | chunks   | 8    |
      | a usage report         | chunks   | 2    |

  Scenario Outline: Bytes that keep coming slowly end with the time of the call
    # Guards against a read that looks for its deadline or for a cancellation only while nothing comes.
    Given a server that sends <bytes> without end, a few every 20 ms
    When it is sent <request>, no longer wanted after <wanted> s
    Then within <seconds> s the call has ended as one that may have run, and at most 1 MB were received
    And the server has seen its connection close

    Examples:
      | request  | bytes        | wanted | seconds |
      | a call   | header lines | 0.5    | 1       |
      | a call   | chunks       | 0.5    | 1       |
      | a call   | chunks       | 9      | 4       |
      | an item  | comments     | 0.5    | 1       |
      | an item  | comments     | 9      | 4       |
      | an order | chunks       | 9      | 4       |

  Scenario: What arrived while this process was suspended is read before the stream counts as silent
    # Guards against streams that are all given up when a process goes on after a suspension.
    Given a server that sends comments without end, a few every 20 ms
    When the reader of a stream, which allows a silence of 0.5 s, is suspended for 0.6 s
    Then the lines that arrived meanwhile are read

  Scenario Outline: As many answers without end as are received at once stay within the memory
    # Guards against the sum of many answers, each of which is within its own bound.
    Given a server that sends <bytes> without end
    When 96 threads send it <request> at once
    Then the process never has more than 340 MB, and all have ended within 20 s

    Examples:
      | request | bytes        |
      | a call  | a body       |
      | a call  | chunks       |
      | a call  | header lines |
      | an item | comments     |
      | an item | one line     |
