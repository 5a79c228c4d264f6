Feature: Results that the log has not accepted yet
  A batch is named by a letter, a result by its batch and a number. The log accepts records of at most
  9,000 bytes and appends of at most 20,000.

  Scenario Outline: The results to write next are of one batch and bounded in number and size
    # Guards against an append that is too large after an outage, and against a batch that waits behind
    # another whose results can't be written.
    Given results of <sizes> bytes that wait to be written
    When up to <count> results of <bytes> bytes are taken until none is left, and <failing> fails once
    Then they are taken as <taken>

    Examples:
      | sizes                          | count | bytes | failing | taken               |
      | a0=100                         | 4     | 500   | nothing | a0                  |
      | a0=200 a1=200 a2=200           | 4     | 500   | nothing | a0+a1 a2            |
      | a0=50 a1=50 a2=50 a3=50 a4=50  | 4     | 500   | nothing | a0+a1+a2+a3 a4      |
      | a0=900 a1=100                  | 4     | 500   | nothing | a0 a1               |
      | a0=100 b0=100 a1=100           | 4     | 500   | nothing | a0+a1 b0            |
      | a0=100 b0=100 a1=100           | 4     | 500   | a0      | a0+a1 b0 a0+a1      |
      | a0=300 a1=300 b0=100           | 4     | 500   | a0      | a0 b0 a0 a1         |

  Scenario Outline: A result that the log can never accept does not block the others
    # Guards against the writer that repeats one append for ever, behind which all later results wait:
    # the item is listed as lost, and all others with their texts.
    Given a writer on a log that accepts <record> bytes in a record, and <call> in a call
    And the log is told to be able to take <told>
    When results of <sizes> characters are written
    Then their batches list <listed>

    Examples:
      | record | call  | told       | sizes                 | listed                       |
      | 9000   | 20000 | 9000/20000 | a0=10 a1=10 b0=10     | a0=done a1=done b0=done      |
      | 9000   | 20000 | 9000/20000 | a0=30000 a1=10 b0=10  | a0=done a1=done b0=done      |
      | 9000   | 20000 | 9000/20000 | a0=8000 a1=8000 a2=8000 a3=8000 b0=10 | a0=done a1=done a2=done a3=done b0=done |
      | 500    | 20000 | 9000/20000 | a0=10 a1=8000 a2=10 b0=10 | a0=done a1=lost a2=done b0=done |
      | 9000   | 4000  | 9000/20000 | a0=5000 a1=10 b0=10   | a0=lost a1=done b0=done      |

  Scenario Outline: Results that pile up in an outage are all listed once it ends
    # Guards against the append of more results than the log accepts in one call.
    Given a writer on a log that accepts 262144 bytes in a record, and 2097152 in a call
    And the log is told to be able to take 262144/2097152
    When <count> results of <size> characters are written, of which none could be while the log was down
    Then all of them are listed within <appends> appends

    Examples:
      | count | size   | appends |
      | 68    | 42000  | 20      |
      | 64    | 33000  | 20      |
      | 200   | 10     | 10      |
      | 2     | 300000 | 10      |

  Scenario Outline: An item whose final result waits to be written is not run again
    # Guards against an item that reaches an engine after its last failure, as long as the result that
    # says so can't be written.
    Given a runner with the engines <engines>
    And the log accepts no content but submissions
    When a batch that allows versions from 1 on is accepted
    And each item has been sent <times> times to an engine
    And its results have been refused 10 times by the log
    And <event>
    And its results have been refused 10 times by the log
    Then each item was still sent only <times> times

    Examples:
      | engines  | event                                             | times |
      | e1=bad   | nothing else happens                              | 1     |
      | e1=fails | nothing else happens                              | 3     |
      | e1=whole | nothing else happens                              | 1     |
      | e1=bad   | another process takes the batch and hands it back | 1     |
      | e1=whole | another process takes the batch and hands it back | 1     |
