Feature: The front program as a process, against a stand-in of the users' platform
  The store, one engine and one service are stand-ins over HTTP; the program is the one that is deployed.

  Scenario: The whole path
    Given the platform's stand-in and the front program
    Then a call is answered by the service, unchanged
    And a batch of 3 items is accepted, listed with scores, read again, ended
    And a version that is named is ordered once, with a fencing number
    And the metrics address shows what was done

  Scenario Outline: What can't be served is told as it is
    # A refusal says that the request has not run and when to come back; where it may have run, or a
    # batch may yet be accepted, another word must be used. "No such batch" needs the index read.
    Given the platform's stand-in and the front program
    When <trouble>
    Then <request> is answered <status>

    Examples:
      | trouble               | request              | status |
      | nothing happens       | a call               | 200    |
      | nothing happens       | a path without route | 404    |
      | nothing happens       | an unknown batch     | 404    |
      | nothing happens       | a batch without JSON | 400    |
      | the store is down 1 s | a call               | 200    |
      | the store is down 1 s | a batch              | 503    |
      | the store is down 1 s | an unknown batch     | 503    |
      | the service goes away | a call               | 503    |
      | the service goes away | a charge             | 503    |

  Scenario: A planned stop answers what runs and ends with 0
    # The platform stops machines in turn. A request in progress is answered, a new one on a kept
    # connection too, and its connection is closed so that the client comes elsewhere next.
    Given the platform's stand-in and the front program
    When it is told to stop while a call of 1.0 s runs
    Then the call is answered whole
    And it is not ready while it stops
    And it ends with exit code 0 within 8 s

  Scenario: SIGHUP does not end it
    Given the platform's stand-in and the front program
    When it gets SIGHUP
    Then a call is answered by the service, unchanged

  Scenario Outline: A signal while it starts does what it does later
    # Settings change, or a machine is stopped, half a second after the program began: its libraries
    # are still being loaded. Ended by the signal it counts as a process that fell over.
    Given a front program that is still loading its libraries
    When it gets <signal> meanwhile
    Then it <does>

    Examples:
      | signal  | does             |
      | SIGHUP  | goes on          |
      | SIGTERM | ends with code 0 |

  Scenario: A faulty settings file is told with all its faults
    When the front program is started with a settings file that lacks ip and listen.ready
    Then it ends with exit code 2 and names ip and listen.ready
