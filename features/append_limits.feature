Feature: Appends within the limits of the platform's log
  The log accepts records of at most 100 bytes and appends of at most 400, of which 16 per record are kept
  free. A content is written as its size in bytes.

  Scenario Outline: Records are divided into appends that the log accepts
    # Guards against an append that the log rejects each time it is repeated.
    Given a log that accepts records of 100 bytes and appends of 400
    When records of <sizes> bytes are divided
    Then the appends have <calls>

    Examples:
      | sizes                | calls              |
      | none                 | none               |
      | 0                    | 0                  |
      | 100                  | 100                |
      | 100 100 100          | 100+100+100        |
      | 100 100 100 100      | 100+100+100 100    |
      | 100 500 100          | 100 500 100        |
      | 500                  | 500                |
      | 9 9 9 9 9 9 9 9 9 9 9 9 9 9 9 9 9 | 9+9+9+9+9+9+9+9+9+9+9+9+9+9+9+9 9 |

  Scenario Outline: Texts of any size are stored and read back in their order
    # Guards against a text that is larger than a record, or that needs several appends between which
    # another entry writes to the same partition.
    Given a log that accepts records of 100 bytes and appends of 400
    And two entries on this log and a batch of 3 items
    When entry a appends <kind> of <sizes> bytes while entry b appends others
    Then entry b reads these <kind> within <reads> reads of the log

    Examples:
      | kind          | sizes          | reads |
      | results       | 10 20 30       | 3     |
      | results       | 90 10 10       | 5     |
      | results       | 300 2000 10    | 30    |
      | results       | 2500 1 1       | 40    |
      | partial texts | 10 20 30       | 3     |
      | partial texts | 300 2000 10    | 30    |

  Scenario Outline: A manifest of another writer does not harm its reader
    # Guards against a reader that fails or uses up its memory on a malformed or forged record.
    Given a log that accepts records of 100 bytes and appends of 400
    And two entries on this log and a batch of 3 items
    When another writer lists the content <content> as the result of item 0
    Then entry a can't read the result

    Examples:
      | content                                       |
      | {}                                            |
      | {"ranges": [], "bytes": 5}                    |
      | {"ranges": [[0, 1]], "bytes": 5}              |
      | {"ranges": [[0, 1]], "bytes": 99999999999}    |
      | {"ranges": [[0, 999999999999]], "bytes": 5}   |
      | {"ranges": [[-1, 1]], "bytes": 5}             |
      | {"ranges": [[0, 0]], "bytes": 5}              |
      | {"ranges": [["a", "b"]], "bytes": 5}          |
      | {"ranges": 7, "bytes": 5}                     |
      | {"ranges": [[0, 9000], [0, 9000]], "bytes": 5} |

  Scenario Outline: An append beyond the limits is not sent, and is known to be final
    # Guards against a call that is repeated although it can never succeed.
    Given a store whose client is told <limits> and that answers an append with <status>
    When a record of <bytes> bytes is appended there
    Then the append <outcome> after <sends> sends

    Examples:
      | limits  | status | bytes | outcome           | sends |
      | 100/400 | 413    | 101   | fails for good    | 0     |
      | 100/400 | 413    | 100   | fails for good    | 1     |
      | 400/100 | 413    | 101   | fails for good    | 0     |
      | 100/400 | 503    | 100   | fails for now     | 1     |
      | 100/400 | 500    | 100   | fails for now     | 1     |

  Scenario Outline: Usage counts of any size are appended
    # Guards against counts that are never billed because those of an outage exceed one record, and
    # against one count that the log never accepts and that blocks all later ones.
    Given a log that accepts records of 4096 bytes and appends of 8192
    And a process that counts usage for it
    When requests of <organisations> organisations with names of <characters> characters start in <windows> windows
    Then all of them but <dropped> are counted from the log, after <lost> of whose appends no answer came

    Examples:
      | organisations | characters | windows | lost | dropped |
      | 1             | 10         | 1       | 0    | 0       |
      | 77            | 20         | 12      | 0    | 0       |
      | 77            | 20         | 12      | 3    | 0       |
      | 400           | 40         | 3       | 5    | 0       |
      | 2             | 5000       | 2       | 0    | 4       |

  Scenario Outline: A crash record that the log never accepts does not block the others
    # Guards against a request that goes on to crash servers because no entry learns of any crash.
    Given a log that accepts records of 400 bytes and appends of 2000
    And a process that records crashes in it
    When crashes of servers with names of <sizes> bytes are recorded
    Then the log holds those of <held> bytes after <calls> calls

    Examples:
      | sizes            | held        | calls |
      | 20 30            | 20 30       | 1     |
      | 20 500 30        | 20 30       | 1     |
      | 500              | none        | 1     |
      | 300 300 300 300 300 300 30 | 300 300 300 300 300 300 30 | 1 |

  Scenario Outline: A write of several appends that stops between them may have had an effect
    # Guards against "no effect" for records of which the first are in the log.
    Given a log that accepts records of 400 bytes and appends of 400
    And two entries on this log and a batch of 1 items
    When entry a announces 40 batches and the log goes down after <appends> appends
    Then the announcement is reported as <outcome>

    Examples:
      | appends | outcome   |
      | 0       | no effect |
      | 1       | doubtful  |
