Feature: Stand-ins of the platform, engines, services and trainers
  Other tests rely on the stand-ins' counters and injected faults, which are checked here.

  Scenario: The log stand-in keeps the newest records and numbers them without gaps
    Given a running stand-in logservice with --retention 3
    When the stand-in log is given the records 0 1 2 3 4
    Then reading the stand-in log from offset 0 gives offsets 2 3 4 out of 2 to 5
    And reading the stand-in log from offset 4 gives offsets 4 out of 2 to 5
    And reading the stand-in log from offset 9 gives offsets none out of 2 to 5

  Scenario: A read of the log stand-in waits for the next record
    Given a running stand-in logservice with --retention 3
    When a read of the stand-in log waits while a record is appended
    Then the waiting read of the stand-in log has offset 0

  Scenario Outline: The host list stand-in shows changes after its lag
    Given a running stand-in hostlist with --lag-ms <lag>
    When the stand-in host list is told {"set": [{"name": "a", "state": "live"}, {"name": "b", "state": "live"}]}
    And the stand-in host list is told {"leaving": "a", "remove": "b", "add": {"name": "c", "state": "live"}}
    Then the stand-in host list shows <shown>

    Examples:
      | lag    | shown            |
      | 0      | a leaving, c live |
      | 600000 | nothing          |

  Scenario: The weight store stand-in limits reads
    Given a running stand-in weightstore with --reads-per-second 2
    When weights of 9 bytes are stored in the stand-in store
    Then the stand-in store gives 9 bytes back
    And the stand-in store soon answers 429 with Retry-After

  Scenario Outline: A stand-in refuses an invalid control request as a whole
    Given a running stand-in <kind> with --slow-ms 0
    When the stand-in is told <content>
    Then the stand-in refuses, naming <place>, and its slow_ms is 0

    Examples:
      | kind        | content                                | place   |
      | engine      | {"slow_ms": 1, "slots": "many"}        | slots   |
      | logservice  | {"slow_ms": 1, "outage": "some"}       | outage  |
      | service     | {"slow_ms": 1, "hold": 1}              | hold    |
      | weightstore | {"nonsense": 1}                        | nonsense |
      | hostlist    | {"add": 5}                             | add     |

  Scenario: The service stand-in holds its calls until they are released
    Given a running stand-in service with --hold
    When 3 calls with the keys a b b are made to the stand-in service
    Then the stand-in service holds 3 calls
    When the held calls of the stand-in service are released
    Then each call gets its own answer from the stand-in service
    And the stand-in service ran a 1 time and b 2 times

  Scenario: The engine stand-in fills its slots by priority, then arrival
    Given a running stand-in engine with --slots 1 --token-ms 60000 --prefill-ms 0
    And stand-in generations first:5 second:5 third:1 fourth:5 have arrived in this order
    When the stand-in engine is made quick and the generation first is cancelled
    Then the stand-in generations run in the order first third second fourth

  Scenario: The engine stand-in skips the prefill of recently used prefixes
    Given a running stand-in engine with --cache-entries 2 --prefill-ms 0
    When the stand-in engine generates with the prefixes a b a c b a
    Then the stand-in engine counts 1 cache hits and 5 misses

  Scenario Outline: The length of an answer of the engine stand-in
    Given a running stand-in engine with --token-ms 0 --piece-tokens 4
    When the stand-in engine generates <prompt> of at most <most> tokens after <resumed>
    Then the stand-in engine's answer has <tokens> tokens, the same as without a break

    Examples:
      | prompt        | most | resumed | tokens |
      | short         | 10   | 0       | 10     |
      | long length=3 | 10   | 0       | 3      |
      | long length=30 | 10  | 0       | 30     |
      | short         | 10   | 7       | 3      |
      | short         | 10   | 10      | 0      |

  Scenario Outline: A generation continues after a load and its label has the actual versions
    # The weights change between two pieces of a stream, and each piece names the version that
    # generated it. A load that fails midway leaves weights without a version.
    Given a running stand-in engine with --token-ms 0 --prefill-ms 0 --load-ms 0 <flags>
    When the stand-in engine loads version 2 with <fault> during a generation
    Then the stand-in engine's load ends with <status> and version <version>
    And the stand-in engine's pieces name the versions <stated>
    And the stand-in engine knows the true versions <true>

    Examples:
      | flags              | fault              | status  | version | stated | true   |
      | --states-version   | nothing            | 200     | 2       | 1 2    | 1 2    |
      | --no-states-version | nothing           | 200     | 2       | none   | 1 2    |
      | --states-version   | fail_load          | 500     | none    | 1 none | 1 none |
      | --states-version   | lose_load_answer   | dropped | 2       | 1 2    | 1 2    |
      | --states-version   | a dead weight store | 503    | 1       | 1      | 1      |

  Scenario Outline: The engine stand-in checks fencing numbers only with --checks-fencing
    Given a running stand-in engine with --load-ms 0 <flag>
    When the stand-in engine is ordered to load versions 5:50 6:40 7:50 8:51
    Then the stand-in engine answered <statuses> and has version 8

    Examples:
      | flag                | statuses        |
      | --checks-fencing    | 200 409 200 200 |
      | --no-checks-fencing | 200 200 200 200 |

  Scenario: The engine stand-in keeps its version if it can't fetch the new weights
    Given a running stand-in weightstore with --reads-per-second 1
    And weights of 9 bytes are stored in the stand-in store
    And a stand-in engine that fetches from the stand-in store
    When the stand-in engine is ordered to load versions 7:50
    Then the stand-in engine answered 503 and has version 1
    When the stand-in store is told {"reads_per_second": 0}
    And the stand-in engine is ordered to load versions 1:51 7:52
    Then the stand-in engine answered 200 503 and has version 1

  Scenario: The load report of the engine stand-in is delayed
    Given a running stand-in engine with --token-ms 60000 --load-lag-ms 600000
    And stand-in generations one:1 two:1 have arrived in this order
    Then the stand-in engine reports 0 running
    When the stand-in engine is told {"load_lag_ms": 0}
    Then the stand-in engine reports 2 running

  Scenario Outline: The trainer stand-in detects every fault of an entry
    # The entry has one fault, once. Faults that a trainer may repair by repeating a request leave
    # exit code 0; every other one makes the trainer fail and name the problem.
    Given a fake entry for the stand-in trainer with the fault <fault>
    When the stand-in trainer takes 2 steps of 2 groups of 4 samples
    Then the stand-in trainer ends with <code> and names <problem>

    Examples:
      | fault           | code | problem              |
      | none            | 0    | nothing              |
      | refused         | 0    | nothing              |
      | unknown step    | 0    | nothing              |
      | dropped         | 0    | nothing              |
      | wrong digest    | 0    | nothing              |
      | superseded      | 3    | nothing              |
      | twice           | 1    | came twice           |
      | early complete  | 1    | complete is True     |
      | malformed       | 1    | malformed answer     |
      | stale           | 1    | is 2 versions old    |
      | version to come | 1    | a version to come    |
      | no tokens       | 1    | a run of no tokens   |
      | no version      | 1    | has label            |
      | no label        | 1    | has label            |
      | short label     | 1    | has 7 tokens, not 8  |
      | another text    | 1    | has another text     |
      | another group   | 1    | has group 99         |
      | another number  | 1    | there is no sample 99 |

  Scenario: The trainer stand-in prints the figures of its steps
    Given a fake entry for the stand-in trainer with the fault none
    When the stand-in trainer takes 2 steps of 2 groups of 4 samples
    Then the stand-in trainer printed 8 samples of 64 tokens a step, 1 version old at most

  Scenario Outline: A relay holds the data of one direction
    # The relay holds a request or its answer while both connections stay open, and forwards it
    # once it is healed: the call is delayed, not lost.
    Given a running stand-in service with --service-ms 0
    And a test relay before the stand-in service that blocks <direction>
    When the stand-in service is called through the test relay on another thread
    Then the stand-in service has <runs> runs before the test relay is healed
    And the call through the test relay is answered after it is healed

    Examples:
      | direction | runs |
      | to_server | 0    |
      | to_client | 1    |

  Scenario: A relay closes connections
    Given a running stand-in service with --hold
    And a test relay before the stand-in service
    When the stand-in service is called through the test relay on another thread
    And the test relay is cut once the stand-in service holds the call
    Then the call through the test relay fails, and so do new ones until it is healed

  Scenario: Relays are closed while connections are being accepted
    # Guards against errors in the teardown of a scenario that has passed, on a busy machine:
    # threads that start late made the closing of a relay raise.
    Given threads that start 0.3 s late
    When clients connect to 12 test relays, each of which is closed 0.1 s later
    Then closing the test relays raised nothing

  Scenario Outline: Only data that a relay holds back counts as held
    # Guards against a fault that is injected before its stage, as any data in transit counts as held.
    Given a test relay whose client's request is <state>
    Then the test relay says that it holds <count> requests

    Examples:
      | state         | count |
      | on its way    | 0     |
      | held back     | 1     |

  Scenario Outline: The port of a backend server stays its own
    # Guards against "Address already in use" when a server starts: the port, free when it was chosen
    # or when the server was killed, had been taken by another process.
    Given a stand-in service that is <state>, and its port
    When another program wants to listen on the port of the stand-in service
    Then the other program can't, connections are refused, and the stand-in service starts on its port

    Examples:
      | state           |
      | about to start  |
      | killed          |
      | killed in calls |
