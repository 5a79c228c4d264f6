Feature: Weights that end the servers that load them
  Simulated time. Half of the servers are ordered by each of two processes, which hear of crashes from each other; a
  load takes 0.9 s, and a server that ended is back 3 s later under another incarnation, with its first weights.

  Scenario Outline: A version that ends its servers is soon kept from them
    # Guards against weights that end every server of a fleet, again after each restart.
    Given <servers> servers that two processes order
    When version 2, which ends a server <seconds> s into a load, is named for <length> s
    Then at most 3 servers were ordered to load it later than 3 s after it ended the third
    And never more than <most> servers ended within 4 s, but at first

    Examples:
      | servers | seconds | length | most |
      | 4       | 0.0     | 34     | 1    |
      | 4       | 0.2     | 34     | 1    |
      | 4       | 0.8     | 34     | 1    |
      | 12      | 0.2     | 34     | 1    |

  Scenario Outline: A version that servers can load again, or the next one, reaches them all
    # Guards against a fleet that stays behind for ever after weights that ended some of its servers.
    Given 4 servers that two processes order
    When version 2, which ends a server 0.2 s into a load, is named for <before> s
    And version <next>, which ends no server, is named for <after> s
    Then every server runs version <next>

    Examples:
      | before | next | after |
      | 2      | 2    | 30    |
      | 10     | 2    | 30    |
      | 10     | 3    | 8     |

  Scenario: Servers that are lost while they load a version that others run get it when they are back
    # Guards against a version that is kept back because hosts were lost while their servers loaded it.
    Given 4 servers that two processes order, of which 1 runs version 2
    When version 2, which ends no server, is named for 0.5 s
    And the other servers are lost
    And version 2, which ends no server, is named for 8 s
    Then every server runs version 2

  Scenario Outline: Losses that say nothing of a version don't count against it
    # Guards against a sound version that is kept back because servers ended for other reasons.
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
