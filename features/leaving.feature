Feature: A backend server that is leaving receives no new work

  Scenario Outline: A desk leaves while callers go on asking
    # Callers see every call answered, and the desk that leaves starts none of those made once the
    # entries know of it, by whichever way. The call that it was running is answered in whole.
    Given <count> desks, whose leaving is watched
    And a charge is held at each of the leaving desks <leaving>
    When the leaving desks <way>, the host list being <list>
    Then 20 calls more are done, and none of them by a leaving desk
    When the held calls of the leaving desks are let go
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

  Scenario: A host list that was wrong is followed again once it is right
    # Callers are refused while the list says that every desk is leaving, which may be true. When
    # it is put right they are answered again; no process needs a restart for it.
    Given 2 desks, whose leaving is watched
    When the host list says that desk-a desk-b leave
    Then the entries use 0 desks
    When the host list is put right
    Then the entries use 2 desks
    And 10 calls more are done

  Scenario: What waits at a desk that leaves is taken elsewhere
    # Sixteen callers wait, and only eight calls have a slot. The desk that leaves finishes the four
    # that it runs and begins no other; those that waited for it are answered by the other desk.
    Given 2 desks, whose leaving is watched
    And 16 calls are held at the desks or wait for them, desk-a being the one to leave
    When the leaving desks are told, the host list being up
    And the held calls of the other desks are let go
    Then 12 of the held calls are done before the leaving desks let go
    When the held calls of the leaving desks are let go
    Then the held calls of the desks are done, each charge once
    And the leaving desks began none since they were told
    And the sidecars of the leaving desks have ended with exit code 0

  Scenario: A request that comes late to a desk that leaves is refused as not run
    # An entry that was paused sends what it had chosen a desk for before it was told. The desk has
    # left by then, but still runs a call, so its sidecar is there to refuse.
    Given 2 desks, whose leaving is watched
    And a charge is held at each of the leaving desks desk-a
    When the leaving desks are told, the host list being up
    Then a late request to the desk desk-a is answered not-run leaving
    And the leaving desks began none since they were told

  Scenario Outline: An entry that was paused sends a claimed request late
    # The caller waits at an entry that is frozen between its claim and its request, while the
    # claimed desk is told to leave. Thawed, the entry sends the request all the same, or finds the
    # sidecar gone; it is told that it did not run, claims anew, and the other desk runs it, once.
    Given 2 desks, whose leaving is watched
    And a charge is held at each of the leaving desks <held>
    And the charge late is claimed at entry-a, which is then frozen
    When the claimed desk is told to leave and <state>
    And entry-a goes on, and the desks let their calls go
    Then the charge late is done, by the other desk
    And the held calls of the desks are done, each charge once

    Examples:
      | held          | state              |
      | desk-a desk-b | still runs a call  |
      | nothing       | has ended          |
