Feature: Quarantine of weight versions that crash the servers loading them
  Time is simulated. Each of two processes orders half of the servers, and they inform each other of crashes. A load
  takes 0.9 s. A server that ended restarts 3 s later as a new incarnation, with its first weights.

  Scenario Outline: A version that crashes servers is soon quarantined
    # Guards against weights that crash every server of a fleet, again after each restart.
    Given <servers> servers that two processes order
    When version 2, which ends a server <seconds> s into a load, is the target for <length> s
    Then at most 3 servers were ordered to load it later than 3 s after it ended the third
    And never more than <most> servers ended within 4 s, but at first

    Examples:
      | servers | seconds | length | most |
      | 4       | 0.0     | 34     | 1    |
      | 4       | 0.2     | 34     | 1    |
      | 4       | 0.8     | 34     | 1    |
      | 12      | 0.2     | 34     | 1    |

  Scenario Outline: After a quarantine, a version that loads again, or the next one, reaches all servers
    # Guards against a fleet that keeps old weights for ever after new ones crashed some of its servers.
    Given 4 servers that two processes order
    When version 2, which ends a server 0.2 s into a load, is the target for <before> s
    And version <next>, which ends no server, is the target for <after> s
    Then every server runs version <next>

    Examples:
      | before | next | after |
      | 2      | 2    | 30    |
      | 10     | 2    | 30    |
      | 10     | 3    | 8     |
      | 70     | 2    | 20    |
      | 300    | 2    | 20    |

  Scenario: A version that some servers run is not quarantined for servers lost while loading it
    # Guards against a version that is quarantined because hosts were lost while their servers loaded it.
    Given 4 servers that two processes order, of which 1 runs version 2
    When version 2, which ends no server, is the target for 0.5 s
    And the other servers are lost
    And version 2, which ends no server, is the target for 8 s
    Then every server runs version 2

  Scenario Outline: Losses that a load can't have caused don't count against its version
    # Guards against a sound version that is quarantined because servers ended for other reasons.
    Given 4 servers that two processes order
    When each server was ordered to load version 2 and <end>
    Then version 2 is <state>

    Examples:
      | end                         | state       |
      | is lost                     | quarantined |
      | is replaced at its address  | quarantined |
      | leaves and is gone          | allowed     |
      | refuses, and is lost        | allowed     |
      | has loaded it, and is lost  | allowed     |
      | lists it, and is lost       | allowed     |
      | is lost 9 s later           | allowed     |
      | refuses it when it is repeated, and is lost | quarantined |
