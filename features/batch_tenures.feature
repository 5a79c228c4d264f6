Feature: A batch stays with the process that runs it
  Runners a and b share a log and two engines; the batch has 4 items of 6 events. An engine named slow
  takes 0.3 s for each event, one that crawls takes 1 s.

  Scenario Outline: A batch continues while its partition is reassigned
    # A process joins the group, so the partition of a running batch is revoked and a second later
    # assigned to another process. When the batch moved along, it paused for that second, lost the text in
    # progress at its engines and ended seconds later, which made its trainer late for the next step.
    Given runners a and b with the engines e1=slow e2=slow, all partitions assigned to a
    When a batch that allows versions from 1 on is accepted
    And its items have 2 events each
    And all partitions are assigned to <first>
    And after 1.2 s
    And all partitions are assigned to <then>
    Then within 12 s its results are done
    And each item was started once

    Examples:
      | first  | then   |
      | nobody | nobody |
      | nobody | b      |
      | b      | b      |
      | b      | a      |

  Scenario: A runner that appended nothing for seconds does not count as failed
    # Its texts are long and it had nothing to append. All partitions are reassigned at once, and the
    # other process learns of it first. Guards against both processes generating every text.
    Given runners a and b with the engines e1=crawls e2=crawls, all partitions assigned to a
    When a batch that allows versions from 1 on is accepted
    And within 2 s runner a runs 4 items
    And after 2.4 s
    And all partitions are assigned to b
    Then within 12 s its results are done
    And each item was started once

  Scenario: A process that has just started waits for records of the runner before it takes a batch
    # A restarted process is assigned the partition of a batch that another process runs, of which it
    # has only seen old records. If it took the batch at once, both would generate the same texts.
    Given runners a and b with the engines e1=slow e2=slow, all partitions assigned to a
    When a batch that allows versions from 1 on is accepted
    And within 2 s runner a runs 4 items
    And all partitions are assigned to nobody
    And runner a has lost its partitions
    And runner b is restarted with all partitions
    And after 0.9 s
    Then each item was started once

  Scenario: A process that has just started takes a batch that nobody runs
    # All processes were killed. The first to start takes the batch after a second without new records.
    Given runners a and b with the engines e1=crawls e2=crawls, all partitions assigned to a
    When a batch that allows versions from 1 on is accepted
    And within 2 s runner a runs 4 items
    And runner a ends without a hand-over
    And runner b is restarted with all partitions
    Then within 2 s runner b runs 4 items

  Scenario: A runner that was killed is replaced
    # The runner neither hands its batch over nor appends anything, and its trainer waits for the batch.
    Given runners a and b with the engines e1=slow e2=slow, all partitions assigned to a
    When a batch that allows versions from 1 on is accepted
    And its items have 2 events each
    And runner a ends without a hand-over
    And all partitions are assigned to b
    Then within 3 s runner b runs 4 items
    And within 12 s its results are done

  Scenario: A runner that stops as planned is replaced at once
    # The runner records that it hands its batches over, so the next one takes them without waiting.
    Given runners a and b with the engines e1=crawls e2=crawls, all partitions assigned to a
    When a batch that allows versions from 1 on is accepted
    And within 2 s runner a runs 4 items
    And runner a is drained
    And all partitions are assigned to b
    Then within 1.2 s runner b runs 4 items

  Scenario: A runner that stops while the log is down continues until the log is back
    # Guards against texts that pause for an outage and for seconds after it, because no process took
    # them over.
    Given runners a and b with the engines e1=crawls e2=crawls, all partitions assigned to a
    When a batch that allows versions from 1 on is accepted
    And within 2 s runner a runs 4 items
    And the log is down for runner a
    And the log is down for runner b
    And runner a is drained
    And after 0.6 s
    Then runner a still runs its 4 items
    When the log is up for runner a
    And the log is up for runner b
    And all partitions are assigned to b
    Then within 2 s runner a runs 0 items
    And within 1.2 s runner b runs 4 items

  Scenario: A runner that leaves the group while the log is down does so as soon as the log is back
    # Guards against partitions that stay assigned to a process that has exited until its lease expires.
    Given runners a and b with the engines e1=crawls e2=crawls, all partitions assigned to a
    When the log is down for runner a
    And runner a leaves the group
    And the log is up for runner a
    Then within 1 s the log has recorded that runner a left

  Scenario: A runner that was cut off from the log stops when it reads that another took its batch
    # Both run the batch while one can't read the log. If both continued after that, the engines would
    # generate each text twice, and the trainer's next step would wait for slots.
    Given runners a and b with the engines e1=crawls e2=crawls, all partitions assigned to a
    When a batch that allows versions from 1 on is accepted
    And within 2 s runner a runs 4 items
    And the log is down for runner a
    And all partitions are assigned to b
    Then within 4 s runner b runs 4 items
    When the log is up for runner a
    Then within 2 s runner a runs 0 items
    And runner b still runs its 4 items

  Scenario Outline: A batch is run although the owner of its partition is unavailable
    # The process that owns the batch's partition was killed or can't reach the log, and the platform
    # reassigns the partition only after seconds, in which the step is not started. The process that
    # accepted the batch runs it if no process has claimed it for a while; otherwise items would run twice.
    Given runners a and b with the engines e1=slow e2=slow, all partitions assigned to b
    When <trouble>
    And a batch that allows versions from 1 on is accepted
    Then within 1.5 s runner <runner> runs 4 items
    And within 12 s its results are done
    And each item was started once

    Examples:
      | trouble                      | runner |
      | runner b ends without a hand-over | a      |
      | the log is down for runner b | a      |
      | after 0.1 s                  | b      |

  Scenario: Only the process that accepted an unclaimed batch runs it
    Given runners a and b with the engines e1=slow e2=slow, all partitions assigned to nobody
    When a batch that allows versions from 1 on is accepted
    Then within 1.5 s runner a runs 4 items
    And runner b still runs its 0 items
