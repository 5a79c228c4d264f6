Feature: The processes that run batches claim the leases to order engines
  Time is simulated. Processes p1, p2, ... share the leases of some partitions of engines, which the platform deals evenly to
  all of them. The words of a script are: 2s waits, p1.runs and p1.rests start and end the batches of a model at p1,
  p1.dies ends p1, p1.leaves stops it in an orderly way, p1.cut and p1.back cut it off from the store and reconnect it
  (all.cut and all.back do so for all processes), p1.old makes p1 one of an earlier build, due says that engines lack a published version, =p1,p2 checks that
  p1 and p2 hold all leases and each of them at least one, =any that all are held, =none that none is, and =same that
  all are held as at the last check.

  Scenario Outline: Runners hold the leases while there are any
    # With leases dealt to all processes, nearly every engine has another orderer, and each order opens
    # a connection: a third of all connections on a quiet day. A lost holder must be replaced as soon as if the
    # owners alone claimed: within 7.2 s if another process follows its lease already, else within 9.1 s, which
    # is 2.5 s until the platform names the new owner, the term, the gap, and the interval between reads.
    # The test records who could order at each moment.
    Given <count> processes that share <leases> leases
    When the processes do <script>
    Then at no moment two of them could order the same engines within the gap
    And each later holder had a higher fencing token

    Examples: the first runners of a day
      | count | leases | script                                                     |
      | 24    | 12     | 3s =none p3.runs 0.5s p7.runs 0.5s p9.runs 2s =p3,p7,p9    |
      | 24    | 12     | 3s p3.runs 2.5s =p3 p7.runs 15s =same                      |
      | 3     | 12     | 3s p1.runs p2.runs p3.runs 2.5s =p1,p2,p3                  |
      | 24    | 12     | 3s p3.runs 0.2s due 0.6s =p3                               |

    Examples: no runner is known
      | count | leases | script                                  |
      | 6     | 6      | 8s =none 4s =p1,p2,p3,p4,p5,p6          |
      | 6     | 6      | 3s =none due 0.6s =p1,p2,p3,p4,p5,p6    |
      | 6     | 6      | 12s =any p2.runs 9s =same               |

    Examples: the runner changes
      | count | leases | script                                                       |
      | 8     | 8      | 3s p3.runs 2.5s =p3 p3.rests 15s =same                       |
      | 8     | 8      | 3s p3.runs 2.5s =p3 p3.rests p5.runs due 15s =same           |
      | 8     | 8      | 3s p3.runs p5.runs 2.5s =p3,p5 p5.rests 4s p5.runs 9s =same  |

    Examples: a runner is lost
      | count | leases | script                                                                       |
      | 8     | 12     | 3s p3.runs p5.runs p6.runs 2.5s =p3,p5,p6 due p3.dies 7.2s =p5,p6            |
      | 8     | 8      | 3s p3.runs 2.5s =p3 due p3.dies 2.5s p5.runs 6.6s =any                       |
      | 8     | 8      | 3s p3.runs 2.5s =p3 due p3.dies 9.1s =any                                    |
      | 8     | 8      | 3s p3.runs p5.runs 2.5s =p3,p5 due p3.rests p3.leaves 4.4s =p5               |
      | 8     | 8      | 3s p3.runs p5.runs 2.5s due p3.dies p5.dies 2.5s p4.runs p6.runs 6.6s =any   |

    Examples: the store can't be reached
      | count | leases | script                                                                       |
      | 8     | 8      | 3s p3.runs p5.runs 2.5s =p3,p5 due p3.cut 7.2s =p5 p3.back 9s =same          |
      | 8     | 8      | 3s p3.runs p5.runs 2.5s =p3,p5 due p3.cut 2s p3.back 9s =same                |
      | 8     | 8      | 3s p3.runs 2.5s =p3 due all.cut 9s =none all.back 1.5s =p3 9s =same          |
      | 8     | 8      | 3s all.cut 2s all.back 1s p3.runs 2.5s =p3                                   |

    Examples: some processes are of an earlier build, which claims as owner at once
      | count | leases | script                                        |
      | 8     | 8      | all.old 2s =any p3.runs 9s =same              |
      | 8     | 8      | p3.old 2s p3.runs due 2.5s =any 9s =same      |
      | 8     | 8      | p1.old p2.old 2s p3.runs 3s =p1,p2,p3 9s =same |
