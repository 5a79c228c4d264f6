Feature: Routing from an entry to backend servers
  A peer is written name,field=value...; by default it has 4 slots, is idle and in rotation.

  Scenario Outline: A request goes only to a peer that can run it
    Given a router with the peers <peers>
    When routing 50 requests for <request>
    Then routing chose only <chosen>

    Examples:
      | peers                                   | request              | chosen           |
      | p1 p2 p3                                | any                  | p1 p2 p3         |
      | p1,leaving=1 p2 p3                      | any                  | p2 p3            |
      | p1,in_rotation=0 p2 p3                  | any                  | p2 p3            |
      | p1,version=6 p2,version=7 p3            | oldest_version=7     | p2               |
      | p1,version=6 p2,version=7 p3            | any                  | p1 p2 p3         |
      | p1 p2 p3                                | excluded=p1          | p2 p3            |
      | p1,backend=other p2                     | any                  | p2               |
      | p1,queued=9 p2                          | any                  | p2               |
      | p1,wait_ms=5000 p2,queued=9             | budget_ms=1000       | p2               |
      | p1,running=8,slots=16 p2,running=3      | any                  | p1               |

  Scenario Outline: A refusal without a peer names the reason and when to retry
    # Nothing was sent, so the caller gets "not run" at once and may retry after the given time.
    Given a router with the peers <peers>
    When routing 1 requests for <request>
    Then routing refused with <reason> for at least <least> ms

    Examples:
      | peers                       | request          | reason           | least |
      | none                        | any              | no-peers         | 1000  |
      | p1,backend=other            | any              | no-peers         | 1000  |
      | p1,leaving=1 p2,in_rotation=0 | any            | none-in-rotation | 1000  |
      | p1,version=6 p2             | oldest_version=7 | no-version       | 1000  |
      | p1,wait_ms=700              | excluded=p1      | all-excluded     | 700   |
      | p1                          | excluded=p1      | all-excluded     | 50    |

  Scenario Outline: Requests started since the last report are added to it
    # Reports lag: a peer that was idle in its report may have this entry's burst in its queue. By the
    # reports alone the next burst would go there too, and its callers would wait or be refused.
    Given a router with the peers p1 p2
    When routing starts <started> and finishes <finished> requests at p1
    And routing gets new reports from <reported>
    And routing 50 requests for any
    Then routing chose only <chosen>

    Examples:
      | started | finished | reported             | chosen |
      | 3       | 0        | nobody               | p2     |
      | 3       | 3        | nobody               | p1 p2  |
      | 3       | 0        | p1,running=0 p2,running=1 | p2 |
      | 3       | 0        | p1,running=3 p2,running=8 | p1 |
      | 0       | 0        | p1,running=3         | p2     |

  Scenario Outline: The estimate from an old report decays to the mean as fast as requests end
    # Every entry has the same old report. Without the decay the peer that was idle then would get all
    # requests until its next report, and callers would wait there while other peers are idle.
    Given a router with the peers p1,running=<busy> p2
    When routing ends 10 requests at each of p1 p2 as ok in <latency> ms
    And routing time passes by <age> seconds
    And routing 50 requests for any
    Then routing chose only <chosen>

    Examples:
      | busy | latency | age | chosen |
      | 4    | 100     | 0   | p2     |
      | 4    | 100     | 1   | p1 p2  |
      | 4    | 10000   | 1   | p2     |
      | 4    | 10000   | 20  | p1 p2  |
      | 40   | 10000   | 20  | p2     |

  Scenario: A prefix goes to the same peer from every entry and moves only when it must
    # The prompt's prefix is cached at one engine; at another one the caller waits for a new prefill.
    # When a peer leaves, only the prefixes that it had may lose their cache.
    Given a router with the peers p1 p2 p3 p4 p5
    When routing 200 prefixes
    Then routing seeds do not matter for prefixes
    And routing gave each of 5 peers 20 to 60 prefixes
    When routing loses p3
    And routing 200 prefixes
    Then routing moved only the prefixes of p3

  Scenario Outline: A popular prefix goes to the next in rank once its peer is overloaded
    # With all slots of the first peer taken and other peers idle, waiting for the cached prefix would
    # take longer than a new prefill elsewhere.
    Given a router with the peers p1 p2 p3 p4
    When routing starts <started> requests of one prefix
    Then routing sent <first> to the first, <second> to the second in its rank

    Examples:
      | started | first | second |
      | 4       | 4     | 0      |
      | 6       | 4     | 2      |
      | 8       | 4     | 4      |

  Scenario Outline: A peer that fails or is slow compared with the others is ejected
    # A peer with a partial failure: its link and reports are fine, but requests fail or take too long.
    # It looks idle, so it would be given even more, and callers see failures until it is ejected.
    Given a router with the peers <peers>
    When routing ends 20 requests at each of <peers> as ok in 10 ms
    And routing ends <count> requests at each of <bad> as <outcome> in <service> ms
    And routing 50 requests for excluded=nobody
    Then routing chose only <chosen>

    Examples:
      | peers       | bad         | count | outcome   | service | chosen      |
      | p1 p2 p3    | p1          | 3     | failed    | 1       | p1 p2 p3    |
      | p1 p2 p3    | p1          | 4     | failed    | 1       | p2 p3       |
      | p1 p2 p3    | p1          | 4     | timed-out | 500     | p2 p3       |
      | p1 p2 p3    | p1          | 30    | refused   | 1       | p1 p2 p3    |
      | p1 p2 p3    | p1          | 30    | ok        | 20      | p1 p2 p3    |
      | p1 p2 p3    | p1          | 30    | ok        | 50      | p2 p3       |
      | p1 p2 p3    | p1 p2 p3    | 30    | failed    | 1       | p1 p2 p3    |
      | p1 p2 p3 p4 | p1 p2       | 30    | failed    | 1       | p3 p4       |
      | p1 p2 p3 p4 | p1 p2 p3    | 30    | failed    | 1       | p1 p2 p3 p4 |
      | p1 p2       | p1          | 30    | failed    | 1       | p2          |
      | p1          | p1          | 30    | failed    | 1       | p1          |

  Scenario: An ejected peer is probed, readmitted step by step and ejected again if it fails
    # Probes are a small part of the first attempts of repeatable requests, one at a time: a failed probe
    # is retried at another peer. A peer that got its full share at once would receive a burst.
    Given a router with the peers p1 p2 p3 p4
    When routing ends 4 requests at each of p1 as failed in 1 ms
    And routing 5000 requests for any
    Then routing chose p1 for 0.5 to 1.5 percent
    When routing 2000 requests for may_probe=0
    Then routing chose p1 for 0 to 0 percent
    When routing ends 3 requests at each of p1 as ok in 10 ms
    And routing 5000 requests for any
    Then routing chose p1 for 2 to 6 percent
    When routing time passes by 5 seconds
    And routing 5000 requests for any
    Then routing chose p1 for 12 to 20 percent
    When routing time passes by 5 seconds
    And routing 5000 requests for any
    Then routing chose p1 for 22 to 28 percent
    When routing ends 4 requests at each of p1 as failed in 1 ms
    And routing 2000 requests for may_probe=0
    Then routing chose p1 for 0 to 0 percent

  Scenario: A readmitted peer gets some of its prefixes and is ejected sooner
    # Prefixes return a few at a time, always the same ones, so that caches are not filled twice. A
    # readmitted peer that fails again is ejected after two failures instead of four.
    Given a router with the peers p1 p2 p3 p4
    When routing ends 4 requests at each of p1 as failed in 1 ms
    And routing ends 3 requests at each of p1 as ok in 10 ms
    And routing 400 prefixes
    Then routing gave p1 2 to 20 prefixes
    When routing time passes by 5 seconds
    And routing 400 prefixes
    Then routing gave p1 35 to 65 prefixes
    When routing ends 2 requests at each of p1 as failed in 1 ms
    And routing 2000 requests for may_probe=0
    Then routing chose p1 for 0 to 0 percent

  Scenario Outline: Ejection outlasts the link but not the incarnation, and never covers more than half
    # A flapping link must not reset the health of a faulty peer, while a restarted sidecar starts anew.
    # When healthy peers leave, ejected ones are readmitted, so that at most half are left unused.
    Given a router with the peers p1 p2 p3 p4
    When routing ends 4 requests at each of p1 p2 as failed in 1 ms
    And routing loses <lost>
    And routing gets new reports from <reported>
    And routing 2000 requests for may_probe=0
    Then routing chose only <chosen>

    Examples:
      | lost   | reported                        | chosen   |
      | nobody | nobody                          | p3 p4    |
      | p1     | p1                              | p3 p4    |
      | nobody | p1,incarnation=2                | p1 p3 p4 |
      | p1     | p1,incarnation=2                | p1 p3 p4 |
      | nobody | p3,leaving=1 p4,leaving=1       | p2       |
      | p3     | nobody                          | p2 p4    |

  Scenario Outline: A peer gets no requests for as long as the host list marks it as leaving
    Given a router with the peers p1 p2
    When the host list that routing reads marks p1 as leaving
    And routing loses <lost>
    And routing gets new reports from <reported>
    And routing 50 requests for any
    Then routing chose only p2
    When the host list that routing reads marks <later> as leaving
    And routing 50 requests for any
    Then routing chose only <chosen>

    Examples:
      | lost   | reported         | later  | chosen |
      | nobody | p1               | nobody | p1 p2  |
      | nobody | p1,incarnation=2 | nobody | p1 p2  |
      | p1     | p1               | nobody | p1 p2  |
      | nobody | p1               | p2     | p1     |
      | nobody | p1,leaving=1     | nobody | p2     |

  Scenario Outline: Retries are limited to a percentage of first attempts
    # Without the limit a backend that begins to fail would get each request several times and stay
    # overloaded. Beyond the budget the caller gets the first failure.
    Given a retry budget of <percent> percent and at most <most> tokens
    When <fresh> fresh requests each want <wanted> retries
    Then the retry budget allowed <allowed>

    Examples:
      | percent | most | fresh | wanted | allowed |
      | 10      | 10   | 100   | 1      | 11      |
      | 10      | 10   | 100   | 3      | 11      |
      | 0       | 10   | 100   | 1      | 1       |
      | 100     | 10   | 100   | 2      | 101     |
      | 10      | 0    | 100   | 1      | 0       |

  Scenario Outline: Saved retries and the number of budgets are bounded
    Given a retry budget of 10 percent and at most 5 tokens
    When <fresh> fresh requests want no retries
    And <customers> other customers get a retry budget
    Then the retry budget has <left> retries left

    Examples:
      | fresh | customers | left |
      | 0     | 0         | 1    |
      | 30    | 0         | 4    |
      | 1000  | 0         | 5    |
      | 1000  | 999       | 5    |
      | 1000  | 1000      | 1    |

  Scenario Outline: Backoff uses full jitter under a bound that doubles
    When backoff is drawn 1000 times for attempt <attempt> from 100 ms up to 2000 ms
    Then backoff was between 0 and <most> ms, on average near the middle

    Examples:
      | attempt | most |
      | 0       | 100  |
      | 1       | 200  |
      | 4       | 1600 |
      | 5       | 2000 |
      | 9999    | 2000 |

  Scenario Outline: A subset is spread evenly over backends and failure domains
    Given a subset is chosen from the hosts <hosts> by 10 entries of <size> each
    Then the subset has <spread> from each group

    Examples:
      | hosts               | size | spread                 |
      | x:100 y:100 z:100   | 20   | x:6-7 y:6-7 z:6-7      |
      | x:2 y:100 z:100     | 20   | x:2-2 y:9-9 z:9-9      |
      | x:4 y:4             | 20   | x:4-4 y:4-4            |
      | x/a:50 y/a:50 x/b:3 y/b:3 | 20 | x/a:7-7 y/a:7-7 x/b:3-3 y/b:3-3 |

  Scenario: A host that joins or leaves changes one choice at most
    # Each change closes one connection and opens another; a full reshuffle would reconnect all hosts.
    Given a subset is chosen from the hosts x:50 y:50 z:50 by 10 entries of 20 each
    When each host of the subset's list is taken away in turn
    Then the subset never changed by more than 1 host, and by 0.12 to 0.15 on average

  Scenario: Entries spread over sidecars as independent random choices do
    Given a subset is chosen from the hosts x:1000 y:1000 z:1000 by 420 entries of 20 each
    Then the subset's most chosen host has at most 3.6 times the mean
    And the subset left out at most 6 percent of hosts

  Scenario Outline: An entry uses a few preferred servers, and others when these are unavailable
    # With a connection from every entry to every server, connections close as idle before they are used
    # again, each request opens a new one, and servers run out of channels. If the preferred servers were
    # the only ones, callers would be refused while these are full, leaving or failing.
    Given a router that prefers 4 peers, with the peers <peers>
    When the preferred peers are <state>
    And routing 200 requests for may_probe=0
    Then routing chose <count> peers, <which>

    Examples:
      | peers                         | state     | count | which           |
      | a b c                         | as before | 3     | whichever       |
      | a b c d e f g h               | as before | 4     | the preferred   |
      | a b c d e f g h               | excluded  | 4     | none preferred  |
      | a b c d e f g h               | full      | 4     | none preferred  |
      | a b c d e f g h               | leaving   | 4     | none preferred  |
      | a b c d e f g h               | failing   | 4     | none preferred  |
      | a,failure_domain=y b,failure_domain=y c d e f g h | as before | 4 | of both domains |

  Scenario: Windowed requests use all servers
    # One process sends all windowed (deferrable) requests of a model; preferred servers only would leave the others idle.
    Given a router that prefers 4 peers, with the peers a b c d e f g h
    When routing 200 windowed requests
    Then routing chose 8 peers, whichever

  Scenario: Preferred servers differ between entries, so that all servers are used
    Given 40 routers that prefer 6 of 14 peers
    Then each peer is preferred by 8 to 27 of them
