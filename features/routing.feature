Feature: Routing from an entry to backend servers
  A peer is written name,field=value...; it has 4 slots, is idle and in rotation unless it says else.

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

  Scenario Outline: Without a peer the refusal says why and when to come back
    # Nothing was sent, so the caller gets "not run" at once and may try again as it was told.
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

  Scenario Outline: What was started since the last report counts on top of it
    # Reports lag: a peer that looked idle has this entry's burst in its queue. Counting only the
    # reports would send the next burst there too, and its callers would wait or be refused.
    Given a router with the peers p1 p2
    When routing starts <started> and finishes <finished> requests at p1
    And routing hears again from <reported>
    And routing 50 requests for any
    Then routing chose only <chosen>

    Examples:
      | started | finished | reported             | chosen |
      | 3       | 0        | nobody               | p2     |
      | 3       | 3        | nobody               | p1 p2  |
      | 3       | 0        | p1,running=0 p2,running=1 | p2 |
      | 3       | 0        | p1,running=3 p2,running=8 | p1 |
      | 0       | 0        | p1,running=3         | p2     |

  Scenario Outline: An old report fades to the mean as fast as requests end
    # Every entry sees the same old report. If all trusted it, the peer that was idle then would get
    # everything until its next report, and the callers would wait there while others are idle.
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
    # The prompt's start is cached at one engine; sending it elsewhere makes the caller wait for a
    # new prefill. When a peer goes, only its own prefixes lose their cache.
    Given a router with the peers p1 p2 p3 p4 p5
    When routing 200 prefixes
    Then routing seeds do not matter for prefixes
    And routing gave each of 5 peers 20 to 60 prefixes
    When routing loses p3
    And routing 200 prefixes
    Then routing moved only the prefixes of p3

  Scenario Outline: A popular prefix goes to the next in rank once its peer is overloaded
    # All slots of the first peer are taken while others are idle; waiting for the cached prefix
    # would cost its callers more than a new prefill elsewhere.
    Given a router with the peers p1 p2 p3 p4
    When routing starts <started> requests of one prefix
    Then routing sent <first> to the first, <second> to the second in its rank

    Examples:
      | started | first | second |
      | 4       | 4     | 0      |
      | 6       | 4     | 2      |
      | 8       | 4     | 4      |

  Scenario Outline: A peer that answers worse than the others gets no more work
    # A grey peer: links and reports are fine, but requests fail or take too long there, and since
    # it is then idle it would be given even more. Callers see the failures until it is ejected.
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

  Scenario: An ejected peer is probed, comes back bit by bit and is ejected again at once
    # Probes are a small part of first attempts of work that may be repeated, one at a time: the
    # caller of a failed probe is retried elsewhere. A peer trusted whole at once would get a burst.
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

  Scenario: A peer on its way back gets some of its prefixes and has little credit
    # Prefixes return a few at a time, always the same ones, so that caches are not filled twice. A
    # peer that fails again right away is ejected after two failures, not four.
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

  Scenario Outline: Ejection ends with the incarnation, not with the link, and yields to need
    # A flapping link must not wash a grey peer clean, while a restarted sidecar starts anew. When
    # the healthy ones leave, ejected peers are taken back rather than having most of them idle.
    Given a router with the peers p1 p2 p3 p4
    When routing ends 4 requests at each of p1 p2 as failed in 1 ms
    And routing loses <lost>
    And routing hears again from <reported>
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

  Scenario Outline: The host list's word that a peer leaves holds as long as it says so
    Given a router with the peers p1 p2
    When routing is told that the host list has p1 as leaving
    And routing loses <lost>
    And routing hears again from <reported>
    And routing 50 requests for any
    Then routing chose only p2
    When routing is told that the host list has <later> as leaving
    And routing 50 requests for any
    Then routing chose only <chosen>

    Examples:
      | lost   | reported         | later  | chosen |
      | nobody | p1               | nobody | p1 p2  |
      | nobody | p1,incarnation=2 | nobody | p1 p2  |
      | p1     | p1               | nobody | p1 p2  |
      | nobody | p1               | p2     | p1     |
      | nobody | p1,leaving=1     | nobody | p2     |

  Scenario Outline: Retries are a bounded part of fresh work
    # A backend that begins to fail would get each request several times over from its callers, and
    # stay down. Past the budget the first failure is the caller's answer.
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

  Scenario Outline: Saved retries and known customers are bounded
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

  Scenario Outline: Backoff is drawn from the whole range up to a bound that doubles
    When backoff is drawn 1000 times for attempt <attempt> from 100 ms up to 2000 ms
    Then backoff was between 0 and <most> ms, on average near the middle

    Examples:
      | attempt | most |
      | 0       | 100  |
      | 1       | 200  |
      | 4       | 1600 |
      | 5       | 2000 |
      | 9999    | 2000 |

  Scenario Outline: A subset is even over backends and failure domains
    Given a subset is chosen from the hosts <hosts> by 10 entries of <size> each
    Then the subset has <spread> from each group

    Examples:
      | hosts               | size | spread                 |
      | x:100 y:100 z:100   | 20   | x:6-7 y:6-7 z:6-7      |
      | x:2 y:100 z:100     | 20   | x:2-2 y:9-9 z:9-9      |
      | x:4 y:4             | 20   | x:4-4 y:4-4            |
      | x/a:50 y/a:50 x/b:3 y/b:3 | 20 | x/a:7-7 y/a:7-7 x/b:3-3 y/b:3-3 |

  Scenario: A host that comes or goes changes one choice at most
    # A changed choice is a closed and a new connection; a reshuffle would reconnect the fleet.
    Given a subset is chosen from the hosts x:50 y:50 z:50 by 10 entries of 20 each
    When each host of the subset's list is taken away in turn
    Then the subset never changed by more than 1 host, and by 0.12 to 0.15 on average

  Scenario: Entries spread over sidecars as independent draws do
    Given a subset is chosen from the hosts x:1000 y:1000 z:1000 by 420 entries of 20 each
    Then the subset's most chosen host has at most 3.6 times the mean
    And the subset left out at most 6 percent of hosts

  Scenario Outline: An entry keeps to a few servers of many, and goes beyond them when it must
    # Every entry with a connection to every server costs their product; in a fleet, connections idle
    # out before they are used again, each request opens one, and servers run out of channels. Kept
    # to a few even when those are full, leaving or failing, callers would be refused for nothing.
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

  Scenario: Work that waits for places uses all servers
    # One process gives out all items of a model; kept to a few servers it would leave the rest idle.
    Given a router that prefers 4 peers, with the peers a b c d e f g h
    When routing 200 windowed requests
    Then routing chose 8 peers, whichever

  Scenario: Entries spread over the servers although each keeps to a few
    Given 40 routers that prefer 6 of 14 peers
    Then each peer is preferred by 8 to 27 of them
