Feature: Calls to backend servers without sidecars
  Servers are named s1, s2, s3. Each behaves as stated for all requests: ok answers after 10 ms, full
  refuses the request, other has been replaced by another server, fails answers 500, lost runs the
  request and loses the answer, refuses accepts no connection, slow answers after 300 ms, silent never
  answers.

  Scenario Outline: A request is sent to another server only if it may be repeated or was not run
    # Servers refuse, fail, or lose the answer after running the request. A request that may be
    # repeated goes to the next server. One that may not goes on only if the last server has not run
    # it; only then may its caller be told that it was not run.
    Given the servers <servers>
    When a <kind> request is called that may be sent to <most> servers
    Then the caller gets <outcome>
    And at most <runs> servers ran it

    Examples:
      | servers                  | kind       | most | outcome    | runs |
      | s1=ok                    | idempotent | 2    | status 200 | 1    |
      | s1=full s2=ok            | idempotent | 2    | status 200 | 1    |
      | s1=full s2=full          | idempotent | 2    | refused    | 0    |
      | s1=other s2=ok           | once       | 2    | status 200 | 1    |
      | s1=refuses s2=ok         | once       | 1    | status 200 | 1    |
      | s1=refuses s2=refuses    | once       | 1    | refused    | 0    |
      | s1=lost                  | once       | 3    | unresolved | 1    |
      | s1=lost s2=lost          | once       | 3    | unresolved | 1    |
      | s1=lost s2=lost          | idempotent | 2    | unresolved | 2    |
      | s1=fails                 | idempotent | 2    | status 500 | 1    |
      | s1=fails s2=fails        | once       | 2    | status 500 | 1    |
      | s1=silent s2=ok          | idempotent | 2    | status 200 | 2    |
      | s1=silent                | once       | 2    | unresolved | 1    |
      | s1=full s2=full s3=full  | idempotent | 2    | refused    | 0    |

  Scenario Outline: A refusal in which the server does not say that it did not run the request
    # Guards against "not run" for a request that ran: its server answered with a status that callers
    # take as that promise, but did not state it.
    Given the servers <servers>
    When a <kind> request is called that may be sent to <most> servers
    Then the caller gets <outcome>
    And at most <runs> servers ran it

    Examples:
      | servers           | kind       | most | outcome    | runs |
      | s1=503            | once       | 2    | unresolved | 1    |
      | s1=429            | once       | 2    | unresolved | 1    |
      | s1=408            | once       | 2    | unresolved | 1    |
      | s1=503 s2=ok      | idempotent | 2    | status 200 | 2    |
      | s1=429 s2=429     | idempotent | 2    | unresolved | 2    |
      | s1=503 s2=full    | idempotent | 2    | unresolved | 1    |
      | s1=fails s2=503   | idempotent | 2    | status 500 | 2    |
      | s1=404            | once       | 2    | status 404 | 1    |

  Scenario: A slow server is hedged
    # One server of three takes 300 ms, the others 10 ms. A second server is asked before the target
    # latency has passed; without that, every third caller would wait for the slow one.
    Given the servers s1=slow s2=ok s3=ok
    When 30 idempotent requests are called that may each be sent to 2 servers
    Then each took less than 250 ms

  Scenario Outline: Only an entry that knows the newest configuration answers "no route"
    # An entry that is disconnected or has just started may not know a recently published route.
    # A caller that is told that there is no route gives up; one that is told to retry asks another
    # entry.
    Given an entry that has <configuration> and <heard> the platform
    When a caller asks for the path <path>
    Then the lookup says <answer>

    Examples:
      | configuration      | heard             | path     | answer  |
      | no configuration   | hears             | /calls/a | unsure  |
      | a configuration    | hears             | /calls/a | calls   |
      | a configuration    | has not heard     | /calls/a | calls   |
      | a configuration    | hears             | /other/a | missing |
      | a configuration    | has not heard     | /other/a | unsure  |

  Scenario: A request is cancelled when its caller disconnects
    Given the servers s1=silent
    When a request is called whose caller disconnects after 100 ms
    Then the call ends within 1000 ms and its server is told that it is cancelled
