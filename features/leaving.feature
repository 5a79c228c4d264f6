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
