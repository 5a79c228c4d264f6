Feature: A batch is not said to be refused while it may run
  Entries share one log in memory, which accepts the first attempt of a trainer or fails it as a row
  says. The trainer then repeats the call.

  Scenario Outline: An entry that may have accepted a batch does not refuse it later
    # Guards against "refused" for a batch that runs: an append of the first attempt was not answered
    # and takes effect, while the log rejects those of the next attempt at the same entry.
    Given two entries on one log
    And the first attempt to submit a batch at entry a meets the log fault: <first>
    When the batch is submitted again at entry a while <state>
    Then the second attempt is <outcome>

    Examples:
      | first            | state                         | outcome  |
      | lose the index   | the log is down               | unknown  |
      | delay the index  | the log is down               | unknown  |
      | lose the index   | entry a knows it is cut off   | unknown  |
      | delay the index  | entry a knows it is cut off   | unknown  |
      | lose the content | the log is down               | refused  |
      | lose the content | entry a knows it is cut off   | refused  |
      | down             | the log is down               | refused  |
      | nothing          | the log is down               | unknown  |
      | nothing          | entry a has read the index    | accepted |

  Scenario Outline: An entry that may have ended a batch does not refuse to end it later
    # Guards against "refused" for an end that takes effect, as with the submission of a batch.
    Given two entries on one log and a batch of 3 items
    And the first attempt to end the batch at entry a meets the log fault: <first>
    When the batch is ended again at entry a while <state>
    Then the second attempt is <outcome>

    Examples:
      | first           | state                       | outcome  |
      | delay the index | the log is down             | unknown  |
      | delay the index | entry a knows it is cut off | unknown  |
      | lose the index  | entry a has read the index  | accepted |
      | down            | the log is down             | refused  |

  Scenario Outline: An attempt that fails beside another attempt is not refused
    # Guards against "refused" for a batch that another attempt of its trainer makes run, at the same
    # entry or at another one whose record is read meanwhile.
    Given two entries on one log
    When an attempt at entry a fails while another attempt <other>
    Then the failed attempt is <outcome>

    Examples:
      | other                                   | outcome  |
      | is in progress at entry a               | unknown  |
      | is accepted by entry b, and a reads it  | accepted |
      | is refused by entry b                   | refused  |

  Scenario Outline: A refusal before the submission is read keeps to the same rule
    # Guards against "refused" for a batch that runs: an entry that has lost its configuration refuses
    # all requests, also one that repeats a submission it has accepted or may have accepted.
    Given two entries on one log and a batch of 3 items
    And the first attempt to <try> at entry a meets the log fault: <first>
    When the batch is <call> again at entry a, which has <missing>
    Then the answer has the status <status>

    Examples:
      | try            | first           | call      | missing          | status |
      | submit a batch | nothing         | submitted | no configuration | 504    |
      | submit a batch | delay the index | submitted | no configuration | 504    |
      | submit a batch | down            | submitted | no configuration | 503    |
      | submit a batch | delay the index | submitted | an old key list  | 504    |
      | submit a batch | down            | submitted | an old key list  | 503    |
      | end the batch  | delay the index | ended     | no configuration | 504    |
      | end the batch  | down            | ended     | no configuration | 503    |

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
