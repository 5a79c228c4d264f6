Feature: Operators' commands
  Operators publish contracts, also concurrently, and read what is in force and what was delivered.

  Background:
    Given an operator's log and two entries

  Scenario Outline: A publisher learns the verdict on its record even if the answer is lost
    # The log refuses an append, its answer is lost before or after the record took effect, the record
    # takes effect late, after it was appended again, or another operator is first. Only the records in
    # the stream are certain. The first copy decides, so appending again can't publish twice.
    Given the operator's log will answer appends with <appends>
    When the operator runs publish with share 60
    Then the operator's exit status is <status> and the output tells <told>
    And the operator's log holds <records> records and share <share> is in force

    Examples:
      | appends                    | status | told                                                          | records | share |
      | ok                         | 0      | accepted at offset 0                                          | 1       | 60    |
      | refused, refused, ok       | 0      | accepted at offset 0                                          | 1       | 60    |
      | lost                       | 0      | accepted at offset 0                                          | 1       | 60    |
      | vanished, ok               | 0      | accepted at offset 0                                          | 1       | 60    |
      | late, ok                   | 0      | accepted at offset 0                                          | 2       | 60    |
      | late, late, lost           | 0      | accepted at offset 0                                          | 3       | 60    |
      | second                     | 3      | void: based on no contract, but offset 0 by bo is in force    | 2       | 7     |
      | refused, second            | 3      | void: based on no contract, but offset 0 by bo is in force    | 2       | 7     |

  Scenario Outline: A publisher that gives up says whether its record may still take effect
    # The log fails until the command's deadline. If every append was refused, the record is not in the
    # log; otherwise one of the appends may still take effect, and "not published" could be false.
    Given the operator's log fails every append with <failure>
    When the operator runs publish with share 60 for 1 ms
    Then the operator's exit status is 4 and the output tells <told>

    Examples:
      | failure  | told                                     |
      | refused  | not published: down                      |
      | vanished | not known whether it was published: timed out |

  Scenario: Nothing is published if the log can't be read
    Given the operator's log is down
    When the operator runs publish with share 60 for 1 ms
    Then the operator's exit status is 4 and the output tells not published: the log can't be read: down

  Scenario: Publishing the same contract again changes nothing, and a change is shown by field
    When the operator runs publish with share 60
    And the operator runs publish with share 60
    Then the operator's exit status is 0 and the output tells in force already, at offset 0
    When the operator runs publish with share 30
    Then the operator's exit status is 0 and the output tells share_percent  60        30
    And the operator's log holds 2 records and share 30 is in force

  Scenario Outline: The publisher prints on how many entries the contract is in force
    Given the operator's entries answer <answers>
    When the operator runs publish with share 60 for <time> ms
    Then the operator's exit status is 0 and the output tells in force on <count> of 2 entries

    Examples:
      | answers          | time | count |
      | 0; 5             | 8000 | 2     |
      | -1 -1 0; -1 4    | 8000 | 2     |
      | -1; 0            | 1    | 1     |
      | down; 0          | 1    | 1     |
      | down down 0; 0   | 8000 | 2     |

  Scenario: A contract with faults is not published
    When the operator runs publish with share 101
    Then the operator's exit status is 1 and the output tells stdin:1:39 share_percent  101 is outside 1 to 100
    And the operator's log holds 0 records and share none is in force

  Scenario Outline: Check reports the same faults as publish, without a log
    Given the operator's log is down
    When the operator runs check with share <share>
    Then the operator's exit status is <status> and the output tells <told>

    Examples:
      | share | status | told |
      | 60    | 0      | the contract of desk has no faults |
      | 0     | 1      | stdin:1:39 share_percent  0 is outside 1 to 100 |

  Scenario: A missing contract file is reported as a finding
    When the operator runs check with the file /nowhere
    Then the operator's exit status is 1 and the output tells /nowhere

  Scenario Outline: The commands on a log whose oldest records were deleted by retention
    # The records that put the contract in force are gone. A snapshot that covers them still tells which
    # contract is in force; without one, the commands must not claim to know.
    Given the operator's log holds two contracts and then <then>, and begins at 2
    When the operator runs <command>
    Then the operator's exit status is <status> and the output tells <told>

    Examples:
      | then              | command | status | told |
      | a snapshot        | show    | 0      | desk      1       bo  7 |
      | a version         | show    | 4      | the log has deleted records and holds no snapshot |
      | a version         | publish with share 60 | 4 | not published: the log has deleted records |
      | a version         | audit   | 0      | version 1 of art        not known |
      | a snapshot        | audit   | 0      | snapshot through 1        ignored |

  Scenario: The audit trail shows time, author, change, base, verdict and reason
    When the operator runs publish with share 60
    And the operator runs publish with share 30
    And another operator's record based on nothing arrives late
    And somebody writes a record with control letters
    And a sidecar has logged an order
    And the operator runs audit
    Then the operator's output is
      """
      offset  time                      by        what                                    base  verdict   why
      0       1970-01-01T00:00:00.000Z  ann       contract desk                           -1    accepted
      1       1970-01-01T00:00:01.000Z  ann       contract desk: share_percent: 60 to 30  0     accepted
      2       1970-01-01T00:00:02.000Z  bo        contract desk: share_percent: 30 to 7   -1    void      based on no contract, but offset 1 by ann is in force
      3       1970-01-01T00:00:03.000Z  ev?[2Jil  version that can't be read                    void      version: is missing; uri: is missing; by: is no printable text of at most 200 letters: 'ev\x1b[2Jil'

      offset  time                      host    model  version  fencing  outcome
      0       1970-01-01T00:00:00.000Z  desk-1  art    7        12       loaded
      """

  Scenario: The report compares the service received with the contract
    Given the operator's entries counted
      | entry | name                                  | count |
      | 0     | customer.desk.booking.answered        | 90    |
      | 1     | customer.desk.booking.answered        | 5     |
      | 1     | customer.desk.booking.late            | 2     |
      | 0     | customer.desk.booking.refused.share   | 2     |
      | 1     | customer.desk.booking.refused.share   | 1     |
      | 0     | customer.desk.lookup.answered         | 10    |
      | 0     | customer.desk.lookup.unknown          | 10    |
      | 0     | customer.desk.trainer.art.delivered   | 64    |
      | 1     | customer.desk.trainer.art.stale       | 3     |
      | 1     | customer.desk.trainer.art.idle_ms     | 1500  |
      | 1     | customer.other.booking.failed         | 1     |
      | 1     | invariant.broken                      | 9     |
      | 1     | customer.desk.booking                 | 9     |
    When the operator publishes the terms of desk and runs report
    Then the operator's output is
      """
      customer  promised_share_percent  requests  service_percent
      desk      60                      120       94.1
      other     no contract             1         0.0

      customer  operation  promised                         requests  in_time  in_time_percent  late  refused  unknown  failed  refusals
      desk      booking    critical, 2000 ms, at most once  100       95       95.0             2     3        0        0       share=3
      desk      lookup     background, 9000 ms, repeatable  20        10       50.0             0     0        10       0
      desk      offer      interactive, 500 ms, repeatable  0         0                         0     0        0        0
      other     booking    no contract                      1         0        0.0              0     0        0        1

      customer  trainer  promised                           delivered  stale  remade  idle_ms
      desk      art      at most 2 behind, staleness first  64         3      0       1500

      """

  Scenario Outline: A report without an entry's counts or without contracts says what is missing
    Given the operator's entries answer <answers>
    And the operator's log is <log>
    When the operator runs report
    Then the operator's exit status is <status> and the output tells <told>

    Examples:
      | answers | log  | status | told |
      | down; 0 | up   | 4      | without http://127.0.0.1:1, which can't be reached |
      | 0; 0    | down | 4      | no promises are shown: the log can't be read: down |

  Scenario: With --json every line of the output is JSON
    When the operator runs publish with share 60
    And the operator runs show as JSON
    Then every line of the operator's output is JSON, and one is of kind contract with share_percent 60

  Scenario Outline: The client reports an entry's HTTP answer, or what is wrong with it
    Given an entry at a port of its own that answers <answer>
    When the operator's client asks it for its configuration
    Then the operator's client finds <result>

    Examples:
      | answer                               | result                       |
      | 200 {"applied_offset": 7, "peers": 3} | applied 7 with 3 peers      |
      | 200 {"applied_offset": "7"}          | answered no applied_offset   |
      | 200 []                               | answered no JSON object      |
      | 200 nonsense                         | answered no JSON object      |
      | 403 {}                               | answered 403                 |
      | nothing                              | can't be reached: RemoteDisconnected: Remote end closed connection without response |

  Scenario: The commands work with separate processes
    # The program that also runs as entry and sidecar reads and writes the real streams. After the log
    # is killed the publisher reports it, and the counts of the entries can still be read.
    Given an operator's deployment of separate processes
    When the operator starts the program with publish of catania.yaml
    Then the started program ended with 0 and printed in force on 2 of 2 entries
    When a booking of catania is answered
    And the operator starts the program with show
    Then the started program ended with 0 and printed catania booking desk critical false
    When the operator starts the program with audit
    Then the started program ended with 0 and printed contract catania
    When the operator starts the program with report
    Then the started program ended with 0 and printed catania booking critical, 2000 ms, at most once 1 1 100.0
    When the log of the operator's deployment is killed
    And the operator starts the program with publish of catania.yaml
    Then the started program ended with 4 and printed not published: the log can't be read
    When the operator starts the program with report
    Then the started program ended with 4 and printed catania booking no contract 1 1 100.0

  Scenario Outline: The program's exit status and output for its command line
    When the program is run with <arguments>
    Then the program's exit status is <status> and it prints <told>

    Examples:
      | arguments      | status | told |
      | --version      | 0      | 0.1.0 |
      | --help         | 0      | usage: oleanderdeal COMMAND |
      | publish --help | 0      | variable: OLEANDERDEAL_BY |
      | nothing        | 2      | usage: oleanderdeal COMMAND |
      | publsh         | 2      | publsh: is no command (did you mean publish?) |
      | publish        | 2      | --by: must be given |
      | check --file=/nowhere | 1 | /nowhere |
