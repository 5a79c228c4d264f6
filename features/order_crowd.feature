Feature: Servers load new weights a few at a time, however long a load takes
  Simulated time. Each of 4 or 12 servers is ordered by a process of its own; a load takes a number of seconds, and longer
  while more than a third of the servers load. A server that loads takes no new work.

  Scenario Outline: Loads that are slower than expected don't pile up
    # A version is named every few seconds. With turns of a fixed length the second turn begins while
    # the first still loads, then the next version comes: all servers load at once, and the trainer's
    # next step finds nobody to begin with it.
    Given <servers> servers, each ordered by its own process, whose loads take <seconds> s
    When <versions> versions are named, one every <every> s
    Then never more than <most> servers load at once
    And after the last every server has it within <within> s

    Examples:
      | servers | seconds | versions | every | most | within |
      | 4       | 0.9     | 6        | 4     | 2    | 10     |
      | 4       | 0.3     | 6        | 4     | 2    | 10     |
      | 4       | 2.8     | 6        | 4     | 2    | 10     |
      | 4       | 2.8     | 4        | 8     | 2    | 10     |
      | 12      | 0.9     | 6        | 4     | 5    | 10     |
      | 12      | 2.8     | 4        | 8     | 5    | 12     |

  Scenario Outline: Servers are asked only where loads don't end within their turn
    # Each question may open a connection to a server, and each process asks many: in a fleet of 23
    # servers the questions cost more than what they guard against where loads are short.
    Given <servers> servers, each ordered by its own process, whose loads take <seconds> s
    When 6 versions are named, one every 6 s
    Then the processes asked other servers at most <most> times

    Examples:
      | servers | seconds | most |
      | 4       | 0.9     | 12   |
      | 12      | 0.9     | 132  |

  Scenario: Servers that say for ever that they load don't keep the others from new weights
    # Two of four hang in a load. The others wait for them a while, then load all the same.
    Given 4 servers, each ordered by its own process, whose loads take 0.9 s
    When 2 of them load for ever
    And 1 versions are named, one every 4 s
    Then after the last every other server has it within 14 s
