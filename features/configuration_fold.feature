Feature: The configuration stream
  Every process applies the same records by the same rules. Accepted records are never reverted.

  Scenario Outline: The order of the log decides which record is in force
    # Two operators publish at once, or an append takes effect twice or late. Every process gives
    # a publisher the same verdict. A contract record names its base, the offset of the one that it replaces (-1: none).
    # The first record on a base is in force, any other is void, with offset and author of the one in force.
    When the configuration records <records> are folded
    Then the configuration verdicts are <verdicts>
    And the configuration in force is <in force>

    Examples: contracts
      | records                                              | verdicts                                       | in force |
      | contract desk on -1 by ann                           | accepted 0 ann                                 | desk 0 ann |
      | contract desk on -1 by ann, contract desk on -1 by bo | accepted 0 ann, void 0 ann                    | desk 0 ann |
      | contract desk on -1 by ann, contract desk on 0 by bo, contract desk on 0 by cy, contract desk on -1 by dee | accepted 0 ann, accepted 1 bo, void 1 bo, void 1 bo | desk 1 bo |
      | contract desk on -1 by ann, contract sales on -1 by bo | accepted 0 ann, accepted 1 bo                | desk 0 ann, sales 1 bo |
      | contract desk on 5 by ann                            | void -1                                        | nothing  |
      | contract desk on -1 by ann, contract desk on 1 by bo | accepted 0 ann, void 0 ann                     | desk 0 ann |

    Examples: versions and trainers
      | records                                              | verdicts                                       | in force |
      | version art 3 by ann, version art 2 by bo, version art 3 by cy, version art 4 by dee | accepted 0 ann, void 0 ann, void 0 ann, accepted 3 dee | art=4 3 dee |
      | version art 3 by ann, version ink 1 by bo            | accepted 0 ann, accepted 1 bo                  | art=3 0 ann, ink=1 1 bo |
      | trainer desk art 2 by e1, trainer desk art 1 by e2, trainer desk art 2 by e2, trainer desk art 3 by e1 | accepted 0 e1, void 0 e1, void 0 e1, accepted 3 e1 | desk/art=3 3 e1 |

    Examples: invalid and unknown records of other writers
      | records                                              | verdicts                                       | in force |
      | {"kind": "contract"}, contract desk on -1 by ann     | void -1, accepted 1 ann                        | desk 1 ann |
      | {"kind": 7}, {}, {"kind": "later"}                   | void -1, void -1, ignored -1                   | nothing |
      | {"kind": "version"; "model": "art"; "version": -1; "uri": ""; "by": "x"} | void -1                    | nothing |
      | {"kind": "contract"; "customer": "a"; "base": -1; "by": "x"; "document": [[[[]]]]} | void -1          | nothing |
      | {"kind": "snapshot"; "through": 0; "contracts": []; "versions": []; "trainers": []} | void -1         | nothing |
      | contract desk on -1 by ann, snapshot                 | accepted 0 ann, ignored -1                     | desk 0 ann |

  Scenario: A record is applied once, and a gap is reported
    # Records come from a peer and from the log, in parts that overlap or leave a gap. A record that
    # was already applied gets the same verdict again. One after a gap changes nothing, and the
    # error names the first missing offset.
    Given a configuration of 3 versions
    When the configuration record at 1 is applied again
    Then that configuration record is accepted and 2 is applied
    When the configuration record at 5 is applied
    Then the configuration gap is 3 before 5 and 2 is applied

  Scenario Outline: A record of excessive size or depth is skipped
    # Another program appends such a record to the stream. It must neither crash the process nor
    # fill its memory, and the next record must still be applied.
    When a configuration record of <what> is folded
    Then that configuration record is <verdict> and the next one is accepted

    Examples:
      | what                     | verdict |
      | 100000 levels            | ignored |
      | 3000000 letters          | ignored |
      | a document of 70000 letters | void |

  Scenario Outline: A peer gets the records it lacks, or a snapshot if they are no longer kept
    Given a configuration of 10 versions of which 4 are kept
    When a peer with configuration <applied> asks for what follows
    Then the peer gets the configuration <answer>
    And the peer has the same configuration

    Examples:
      | applied | answer      |
      | 9       | records     |
      | 7       | records 8 9 |
      | 5       | records 6 7 8 9 |
      | 4       | snapshot    |
      | -1      | snapshot    |

  Scenario: Records are handed over in batches of bounded size
    Given a configuration of 10 versions
    When a peer with configuration 2 asks for records of at most 1 byte
    Then the peer gets the configuration records 3

  Scenario Outline: A process that starts after records were deleted waits for a snapshot
    # A host is replaced after the log has deleted old records. Nothing may be in force before a
    # snapshot that covers the deleted records: the remaining ones would be applied to an empty
    # state and get verdicts that differ from those of other processes.
    Given a configuration log whose records are <records>
    When a process starts where the configuration log begins at <first>
    Then it has applied configuration <applied> and waiting is <waiting>

    Examples:
      | records                                                     | first | applied | waiting |
      | version, version, version, snapshot of 2, version           | 0     | 4       | no  |
      | version, version, version, snapshot of 2, version           | 1     | 4       | no  |
      | version, version, version, snapshot of 2, version           | 3     | 4       | no  |
      | version, version, version, snapshot of 2, version           | 4     | -1      | yes |
      | version, version, version, snapshot of 0, version           | 2     | -1      | yes |
      | version, version, version, snapshot of 0, version           | 1     | 4       | no  |
      | version, version, snapshot of 0, snapshot of 1, snapshot of 1 | 2   | 4       | no  |
      | version, version, snapshot of 0, snapshot of 9, version     | 2     | -1      | yes |

  Scenario Outline: A snapshot that lacks records before it is not taken for the newest
    # Guards against records that no snapshot keeps: one that was written before them, but arrived
    # after them, counted as theirs, and no process wrote another.
    Given a configuration log whose records are <records>
    When a process starts where the configuration log begins at 0
    Then the newest configuration snapshot is at <newest>

    Examples:
      | records                                                      | newest |
      | version, version                                             | -1     |
      | version, version, snapshot of 1                              | 2      |
      | version, version, snapshot of 0                              | -1     |
      | version, snapshot of 0, version, snapshot of 0               | 1      |
      | version, snapshot of 0, version, snapshot of 0, snapshot of 3 | 4     |
      | version, snapshot of 0, snapshot of 0                        | 2      |
      | version, snapshot of 0, snapshot of 1                        | 2      |

  Scenario: A process that was suspended until its next record was deleted waits for a snapshot
    # When it resumes, its configuration stays in force, the applied offset never decreases, and a
    # snapshot from the log or from a peer ends the wait.
    Given a configuration log whose records are contract, version, version, snapshot of 2, version
    When a process that applied configuration 0 goes on at 4
    Then it has applied configuration 0 and waiting is yes
    And the configuration in force is desk 0 ann
    When a peer hands over its configuration
    Then it has applied configuration 4 and waiting is no

  Scenario: A process that waits for a snapshot still reports a gap
    Given a configuration log whose records are version, version, version, version
    When a process starts where the configuration log begins at 2
    And the configuration record at 9 is applied
    Then the configuration gap is 4 before 9 and -1 is applied

  Scenario: The size of the configuration is bounded, also after a start from a snapshot
    # Once contracts fill the maximum size, one more is void with a reason. A process that applied
    # every record and one that started from a snapshot must give the same verdict.
    When large configuration contracts are folded until one is void
    Then its configuration verdict is no room: 1048576 bytes are in force at most
    And a process that starts from a configuration snapshot gives the same verdict

  Scenario: A snapshot that would revert an accepted record is rejected
    # A snapshot of another stream or of a faulty program is handed over. Installing it would
    # revert an accepted record, so the state stays as it is.
    Given a configuration of 3 versions
    When a configuration snapshot through 9 without anything is handed over
    Then that configuration record is void and 2 is applied

  Scenario: A snapshot from a peer with fewer records changes nothing
    Given a configuration of 3 versions
    When the configuration of a peer with 2 versions is handed over
    Then that configuration record is ignored and 2 is applied

  Scenario: The state does not depend on how a process received the records
    Then every way through a random configuration log ends in the same state
