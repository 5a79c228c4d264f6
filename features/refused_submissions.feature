Feature: A batch is not said to be refused while it may run

  Scenario Outline: The log line of a failed submission shows what each send was answered
    # Guards against a refused batch of which no log line tells whether it may run.
    Given a store that <does> when it reads an append to the index on a kept connection
    When a trainer submits a batch to an entry of that store
    Then the log line of the submission says <outcome> after <sends> sends: <answers>

    Examples:
      | does                  | outcome | sends | answers                          |
      | breaks off, then 503  | unknown | 2     | RemoteDisconnected; status 503   |
      | breaks off, then 429  | unknown | 2     | RemoteDisconnected; status 429   |
      | breaks off            | unknown | 2     | RemoteDisconnected; RemoteDisconnected |
      | answers 503           | refused | 1     | status 503                       |
      | answers 429           | refused | 1     | status 429                       |
      | answers 413           | impossible | 1  | status 413                       |
