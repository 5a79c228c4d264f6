Feature: A client resumes a stream after its connection broke
  A stream has 5 events. The model servers are stand-ins that begin after the event in `Last-Event-Id`.

  Scenario Outline: A resumed stream begins after the event that its client names
    # Guards against events that a client receives twice: the header that names the last one is lost
    # on the way to the server.
    Given two front programs with streams on a <route> route
    When a client asks for the stream after event <last> while <trouble>
    Then it gets the events <events>
    And all servers that were asked for it were given <last> as the last event

    Examples:
      | route     | last    | trouble                            | events    |
      | resumable | none    | nothing happens                    | 1 2 3 4 5 |
      | resumable | 3       | nothing happens                    | 4 5       |
      | resumable | 0       | nothing happens                    | 1 2 3 4 5 |
      | resumable | 5       | nothing happens                    | none      |
      | resumable | 9       | nothing happens                    | none      |
      | resumable | unknown | nothing happens                    | 1 2 3 4 5 |
      | plain     | 3       | nothing happens                    | 4 5       |
      | resumable | 1       | the first server breaks off        | 2 3 4 5   |
      | resumable | 1       | the servers take as long as a hedge waits | 2 3 4 5 |
      | resumable | 3       | the front it asked before is gone  | 4 5       |
      | resumable | 3       | the front it asked before stops    | 4 5       |
      | resumable | 3       | its own front stops                | 4 5       |

  Scenario: A stream is resumed again after it was resumed
    # Guards against a second resume that begins where the first one did.
    Given two front programs with streams on a resumable route
    When a client asks for the stream after event 2 while nothing happens
    And a client asks for the stream after event 4 while nothing happens
    Then it gets the events 5

  Scenario Outline: A header of a client reaches the server unless it is one of the connection's or of this program's
    # Guards against headers that a client sets in vain, and against those by which it could choose
    # another server, more time or another place in the queue.
    When an entry sends <request> with the header <name> set to <value>
    Then its server receives <received>

    Examples: of requests that are forwarded for a client
      | request | name                          | value    | received |
      | a call  | Last-Event-Id                 | 3        | 3        |
      | a call  | X-Oleanderdeal-Model          | m        | m        |
      | a call  | X-Oleanderdeal-Prompt-Prefix  | ab:7     | ab:7     |
      | a call  | X-Oleanderdeal-Length-Hint    | 40       | 40       |
      | a call  | X-Oleanderdeal-Pin-Ms         | 20       | 20       |
      | a call  | X-Oleanderdeal-Wait-Ms        | 50       | 50       |
      | a call  | Accept                        | text/css | text/css |
      | a call  | Accept-Encoding               | identity | identity |
      | a call  | X-Oleanderdeal-Deadline-Ms    | 99999999 | another  |
      | a call  | X-Oleanderdeal-Expect-Instance | other   | another  |
      | a call  | X-Oleanderdeal-Urgency-Class  | 0        | none     |
      | a call  | X-Oleanderdeal-Tenant         | other    | none     |
      | a call  | X-Oleanderdeal-Fencing-Token  | 9        | none     |
      | a call  | Keep-Alive                    | 9        | none     |
      | a call  | TE                            | trailers | none     |
      | a call  | Upgrade                       | h2c      | none     |

    Examples: of items, whose text this program reads and resumes
      | request                    | name                         | value | received |
      | an item                    | Last-Event-Id                | 3     | none     |
      | an item resumed after 2    | Last-Event-Id                | 3     | 2        |
      | an item                    | X-Oleanderdeal-Model         | m     | m        |
      | an item                    | X-Oleanderdeal-Urgency-Class | 0     | another  |
      | an item                    | Accept-Encoding              | gzip  | none     |
