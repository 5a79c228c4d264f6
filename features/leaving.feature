Feature: A backend server that is leaving receives no new work

  Scenario Outline: A desk leaves while calls keep arriving
    # A desk is a backend server. All calls are answered. However entries learn that a desk is leaving,
    # it starts no call made after that, and the call that it was running still gets its whole answer.
    Given <count> desks whose leaving is observed
    And a charge is held at each of the leaving desks <leaving>
    When the leaving desks <way>, the host list being <list>
    Then 20 more calls are done, and none of them by a leaving desk
    When the held calls of the leaving desks are released
    Then the held calls of the desks are done, each charge once

    Examples:
      | count | leaving              | way                                      | list   |
      | 2     | desk-a               | are told                                 | up     |
      | 2     | desk-a               | are told                                 | emptied |
      | 2     | desk-a               | are told                                 | refuse |
      | 2     | desk-a               | are told                                 | hang   |
      | 2     | desk-a               | are listed as leaving                    | up     |
      | 2     | desk-a               | are listed, and then the list is down and their links drop | up |
      | 2     | desk-a               | are told as their links are cut          | up     |
      | 2     | desk-a               | are told while nothing from them arrives | up     |
      | 2     | desk-a               | are forgotten by the list                | up     |
      | 2     | desk-a               | are told and forgotten by the list       | up     |
      | 3     | desk-a desk-c        | are told                                 | up     |
      | 4     | desk-a desk-b desk-d | are told                                 | emptied |

  Scenario: Entries follow a wrong host list again once it is corrected
    # Callers are refused while the list says that every desk is leaving, which may be true. Once it
    # is corrected they are answered again, without a restart of any process.
    Given 2 desks whose leaving is observed
    When the host list says that desk-a desk-b leave
    Then the entries use 0 desks
    When the host list is corrected
    Then the entries use 2 desks
    And 10 more calls are done

  Scenario: Calls queued at a leaving desk are sent to another desk
    # There are sixteen calls and eight slots. The leaving desk finishes the four calls that it runs
    # and starts no other; the calls queued there are answered by the other desk.
    Given 2 desks whose leaving is observed
    And 16 calls are held at the desks or wait for them, desk-a being the one to leave
    When the leaving desks are told, the host list being up
    And the held calls of the other desks are released
    Then 12 of the held calls are done before those of the leaving desks are released
    When the held calls of the leaving desks are released
    Then the held calls of the desks are done, each charge once
    And the leaving desks started no call since they were told
    And the sidecars of the leaving desks have ended with exit code 0

  Scenario: A late request to a leaving desk is refused as not run
    # An entry that was paused sends a request to a desk that it chose before it learned that the desk
    # is leaving. The desk still runs a call, so its sidecar is up and refuses the request.
    Given 2 desks whose leaving is observed
    And a charge is held at each of the leaving desks desk-a
    When the leaving desks are told, the host list being up
    Then a late request to the desk desk-a is answered not-run leaving
    And the leaving desks started no call since they were told

  Scenario Outline: An entry that was paused sends a claimed request late
    # An entry is frozen between its claim and its request while the claimed desk is told to leave.
    # Once thawed, the entry sends the request anyway, or finds the sidecar gone. It learns that the
    # request did not run, appends a new claim, and the other desk runs the request exactly once.
    Given 2 desks whose leaving is observed
    And a charge is held at each of the leaving desks <held>
    And the charge late is claimed at entry-a, which is then frozen
    When the claimed desk is told to leave and <state>
    And entry-a is thawed, and the desks release their calls
    Then the charge late is done, by the other desk
    And the held calls of the desks are done, each charge once

    Examples:
      | held          | state              |
      | desk-a desk-b | still runs a call  |
      | nothing       | has ended          |
