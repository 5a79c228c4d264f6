Feature: Servers load new weights a few at a time, however long a load takes
  Time is simulated. Each of 4 or 12 servers is ordered by a process of its own. A load takes the given time, and longer
  while more than a third of the servers load. A server that is loading accepts no new requests.

  Scenario Outline: Loads that are slower than expected don't pile up
    # A version is published every few seconds, and servers load it in groups, called waves. If waves
    # started at fixed intervals, the second would start while the first still loads, and then the next
    # version is published: all servers load at once, and none is free for the trainer's next step.
    Given <servers> servers, each ordered by its own process, whose loads take <seconds> s
    When <versions> versions are published, one every <every> s
    Then never more than <most> servers load at once
    And after the last is published, every server has it within <within> s

    Examples:
      | servers | seconds | versions | every | most | within |
      | 4       | 0.9     | 6        | 4     | 2    | 10     |
      | 4       | 0.3     | 6        | 4     | 2    | 10     |
      | 4       | 2.8     | 6        | 4     | 2    | 10     |
      | 4       | 2.8     | 4        | 8     | 2    | 10     |
      | 12      | 0.9     | 6        | 4     | 5    | 10     |
      | 12      | 2.8     | 4        | 8     | 5    | 12     |

  Scenario Outline: Servers are asked whether they are loading only if loads take longer than a wave
    # Each request may open a connection to a server, and each process asks many servers: in a fleet of
    # 23 servers with short loads, the requests cost more than the simultaneous loads that they prevent.
    Given <servers> servers, each ordered by its own process, whose loads take <seconds> s
    When 6 versions are published, one every 6 s
    Then the processes asked other servers at most <most> times

    Examples:
      | servers | seconds | most |
      | 4       | 0.9     | 12   |
      | 12      | 0.9     | 132  |

  Scenario: Servers that never finish loading don't keep the others from new weights
    # Two of four servers hang in a load. The others wait for them for a while and then load anyway.
    Given 4 servers, each ordered by its own process, whose loads take 0.9 s
    When 2 of them never finish loading
    And 1 versions are published, one every 4 s
    Then after the last is published, every other server has it within 14 s

  Scenario: Servers that don't answer delay no orders to the others
    # A runner holds the leases of many servers. Called one after the other, each that does not answer
    # would delay all others by the timeout of a call, in each round, and the last wave by seconds. The last
    # wave starts 2.4 s after the version was published; an order asks the silent servers for 0.8 s before it.
    Given a process that holds the leases of 12 servers, 4 of which don't answer
    When it gives orders for 2.8 s after a version was published
    Then each server that answers was ordered once, the last within 3.3 s
