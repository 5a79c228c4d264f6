Feature: A batch stays with the process that runs it
  Runners a and b share a log and two engines; the batch has 4 items of 6 events. An engine that is slow
  takes 0.3 s an event, one that crawls 1 s.

  Scenario Outline: A batch goes on while its partition is dealt anew
    # A process joins, and the partition of a batch in progress is taken from its runner, a second
    # later given to another. A batch that moved along stood still for that second, lost what its
    # engines were at and ended seconds later; its trainer was too late with its next step.
    Given runners a and b with the engines e1=slow e2=slow, all partitions dealt to a
    When a batch that allows versions from 1 on is accepted
    And its items have 2 events each
    And all partitions are dealt to <first>
    And after 1.2 s
    And all partitions are dealt to <then>
    Then within 12 s its results are done
    And each item was begun once

    Examples:
      | first  | then   |
      | nobody | nobody |
      | nobody | b      |
      | b      | b      |
      | b      | a      |

  Scenario: A runner that had nothing to tell is not taken for gone
    # Its texts are long, and nothing of them was kept for seconds. All partitions are dealt anew at one
    # moment, and the other process learns of it first. Both then make every text.
    Given runners a and b with the engines e1=crawls e2=crawls, all partitions dealt to a
    When a batch that allows versions from 1 on is accepted
    And within 2 s runner a runs 4 items
    And after 2.4 s
    And all partitions are dealt to b
    Then within 12 s its results are done
    And each item was begun once

  Scenario: A process that has just started hears the runner before it takes a batch
    # A program is restarted and dealt the partition of a batch that another runs. All that it knows of
    # that runner is history; taking the batch at once, both would send the same texts to engines.
    Given runners a and b with the engines e1=slow e2=slow, all partitions dealt to a
    When a batch that allows versions from 1 on is accepted
    And within 2 s runner a runs 4 items
    And all partitions are dealt to nobody
    And runner a has lost its partitions
    And runner b is started anew with all partitions
    And after 0.9 s
    Then each item was begun once

  Scenario: A process that has just started takes a batch that nobody runs
    # All processes were killed: whoever comes first goes on, having listened for a second.
    Given runners a and b with the engines e1=crawls e2=crawls, all partitions dealt to a
    When a batch that allows versions from 1 on is accepted
    And within 2 s runner a runs 4 items
    And runner a ends without a word
    And runner b is started anew with all partitions
    Then within 2 s runner b runs 4 items

  Scenario: A runner that is gone is replaced
    # The runner was killed: it neither hands over nor speaks again. Its trainer waits for the batch.
    Given runners a and b with the engines e1=slow e2=slow, all partitions dealt to a
    When a batch that allows versions from 1 on is accepted
    And its items have 2 events each
    And runner a ends without a word
    And all partitions are dealt to b
    Then within 3 s runner b runs 4 items
    And within 12 s its results are done

  Scenario: A runner that stops as planned is replaced at once
    # Silence need not be waited for: the one that leaves says that it hands its batches over.
    Given runners a and b with the engines e1=crawls e2=crawls, all partitions dealt to a
    When a batch that allows versions from 1 on is accepted
    And within 2 s runner a runs 4 items
    And runner a is drained
    And all partitions are dealt to b
    Then within 1.2 s runner b runs 4 items

  Scenario: A runner that stops while the log is away goes on until the log is back
    # Guards against texts that stand still for an outage, and seconds more, since nobody took them over.
    Given runners a and b with the engines e1=crawls e2=crawls, all partitions dealt to a
    When a batch that allows versions from 1 on is accepted
    And within 2 s runner a runs 4 items
    And the log is down for runner a
    And the log is down for runner b
    And runner a is drained
    And after 0.6 s
    Then runner a goes on with its 4 items
    When the log is up for runner a
    And the log is up for runner b
    And all partitions are dealt to b
    Then within 2 s runner a runs 0 items
    And within 1.2 s runner b runs 4 items

  Scenario: A runner that leaves while the log is away leaves as soon as the log is back
    # Guards against partitions that stay with a process that has ended until its time to live is over.
    Given runners a and b with the engines e1=crawls e2=crawls, all partitions dealt to a
    When the log is down for runner a
    And runner a leaves the group
    And the log is up for runner a
    Then within 1 s the log has heard that runner a left

  Scenario: A runner that was cut off stops when it reads that another took its batch
    # Both run the batch while one can't read the log. Going on after that, the engines would make
    # each text twice, and the trainer's next step would wait for places.
    Given runners a and b with the engines e1=crawls e2=crawls, all partitions dealt to a
    When a batch that allows versions from 1 on is accepted
    And within 2 s runner a runs 4 items
    And the log is down for runner a
    And all partitions are dealt to b
    Then within 4 s runner b runs 4 items
    When the log is up for runner a
    Then within 2 s runner a runs 0 items
    And runner b goes on with its 4 items

  Scenario Outline: A batch is not left to a process that is away
    # The process that is dealt the batch's partition was killed, or can't reach the log; the platform
    # deals anew after seconds. The trainer's time runs, and of the step nothing is begun. The process
    # that accepted the batch runs it if nobody has said so for a while; else one item would run twice.
    Given runners a and b with the engines e1=slow e2=slow, all partitions dealt to b
    When <trouble>
    And a batch that allows versions from 1 on is accepted
    Then within 1.5 s runner <runner> runs 4 items
    And within 12 s its results are done
    And each item was begun once

    Examples:
      | trouble                      | runner |
      | runner b ends without a word | a      |
      | the log is down for runner b | a      |
      | after 0.1 s                  | b      |

  Scenario: What was accepted elsewhere is left to others
    Given runners a and b with the engines e1=slow e2=slow, all partitions dealt to nobody
    When a batch that allows versions from 1 on is accepted
    Then within 1.5 s runner a runs 4 items
    And runner b goes on with its 0 items
