Feature: An accepted configuration is in force everywhere within seconds and never reverts
  Two entries and two sidecars run as processes. A change is a contract with an operation of its
  own, so that each answer of an entry shows which contract it is by. In every scenario the entries
  are asked all the time, and one that answers by an older change after a newer one fails it.

  Scenario Outline: Publishing tells the truth while the log <fault>
    # The operator sees accepted, not published, or not known yet; never the wrong one. What was
    # not known may take effect later. Publishing the same again then ends in one accepted record.
    Given the deployment of the configuration matrix
    When in the configuration matrix the log <fault>
    And ann publishes in the configuration matrix, within <wait_ms> ms, and ends <ending>
    And in the configuration matrix the log works
    And ann publishes the same again in the configuration matrix and it is accepted once
    Then in the configuration matrix everyone have the newest change
    And show in the configuration matrix tells the newest change
    And the configuration matrix is whole again, and nobody went back

    Examples:
      | fault              | wait_ms | ending                              |
      | refuses            | 300     | 4 not published                     |
      | hangs              | 300     | 4 not published                     |
      | is slow            | 8000    | 0 accepted at offset                |
      | loses an append    | 8000    | 0 accepted at offset                |
      | loses an answer    | 8000    | 0 accepted at offset                |
      | is late once       | 8000    | 0 accepted at offset                |
      | loses every append | 300     | 4 not known whether it was published |
      | is late always     | 300     | 4 not known whether it was published |

  Scenario: Of two operators at once the second is told who won
    # Ann has read what is in force and is paused before her append counts. Bo publishes on the same
    # base. Ann's record then comes second; it is void, and she hears by whom.
    Given the deployment of the configuration matrix
    When ann starts to publish in the configuration matrix and is paused before her append
    And bo publishes in the configuration matrix and wins
    Then ann goes on in the configuration matrix and ends 3 by bo is in force
    And in the configuration matrix everyone have the newest change
    And the configuration matrix is whole again, and nobody went back

  Scenario: An append that takes effect after another has won changes nothing
    # Ann gives up, not knowing. Bo publishes on the same base. Then Ann's record takes effect.
    Given the deployment of the configuration matrix
    When in the configuration matrix the log is late always
    And ann publishes in the configuration matrix, within 1 ms, and ends 4 not known whether
    And in the configuration matrix the log works
    And bo publishes in the configuration matrix and wins
    Then ann's late change is void in the configuration matrix
    And in the configuration matrix everyone have the newest change
    And the configuration matrix is whole again, and nobody went back

  Scenario Outline: Whoever is cut off from <relays> gets a change over what is left
    # Callers see the new contract at every entry while the cut lasts.
    Given the deployment of the configuration matrix
    When in the configuration matrix <relays> are cut off
    And 2 changes are accepted in the configuration matrix
    Then in the configuration matrix everyone have the newest change
    And the configuration matrix is whole again, and nobody went back

    Examples:
      | relays                                  |
      | log-entry-a                             |
      | log-desk-a                              |
      | log-entry-a, log-entry-b                |
      | log-desk-a, log-desk-b                  |
      | log-entry-a, log-desk-a, log-desk-b     |
      | log-entry-a, log-entry-b, log-desk-a    |
      | link-desk-a, link-desk-b                |
      | link-desk-a, log-entry-a                |

  Scenario Outline: Who was cut off from everything catches up once <healed> is healed
    # It can't know of the changes, so it answers by the contract that it has; healed, it catches up.
    Given the deployment of the configuration matrix
    When in the configuration matrix <relays> are cut off
    And 3 changes are accepted in the configuration matrix
    Then in the configuration matrix <lagging> still answer by the first change
    And in the configuration matrix <others> have the newest change
    When in the configuration matrix <healed> are connected again
    Then in the configuration matrix everyone have the newest change
    And the configuration matrix is whole again, and nobody went back

    Examples:
      | relays                                | lagging | others          | healed                   |
      | log-entry-a, link-desk-a, link-desk-b | entry-a | entry-b, desk-a | log-entry-a              |
      | log-entry-a, link-desk-a, link-desk-b | entry-a | entry-b, desk-a | link-desk-a              |
      | log-desk-a, link-desk-a               | none    | entry-a, desk-b | link-desk-a              |
      | log-desk-a, link-desk-a               | none    | entry-a, desk-b | log-desk-a               |

  Scenario Outline: A change that one process has read spreads while the log <fault>
    # Only entry-b has read the change when the log goes; the others get it from peers.
    Given the deployment of the configuration matrix
    When in the configuration matrix <relays> are cut off
    And 1 changes are accepted in the configuration matrix
    Then in the configuration matrix entry-b have the newest change
    When in the configuration matrix the log <fault>
    And in the configuration matrix <relays> are connected again
    Then in the configuration matrix everyone have the newest change
    And the configuration matrix is whole again, and nobody went back

    Examples:
      | fault   | relays                                                        |
      | refuses | log-entry-a, log-desk-a, log-desk-b, link-desk-a, link-desk-b |
      | hangs   | log-entry-a, log-desk-a, log-desk-b, link-desk-a, link-desk-b |

  Scenario Outline: <frozen> frozen over several changes catch up when thawed while the log <fault>
    # A thawed process may answer by the contract that it had until it has read on: within the time
    # of one poll or heartbeat. It never goes back, and then it answers by the newest.
    Given the deployment of the configuration matrix
    When in the configuration matrix <frozen> are frozen
    And 3 changes are accepted in the configuration matrix
    Then in the configuration matrix <others> have the newest change
    When in the configuration matrix the log <fault>
    And in the configuration matrix <frozen> are thawed
    Then in the configuration matrix everyone have the newest change
    And the configuration matrix is whole again, and nobody went back

    Examples:
      | frozen          | others          | fault   |
      | entry-a         | entry-b, desk-b | works   |
      | entry-a         | entry-b, desk-b | refuses |
      | desk-a          | entry-a, entry-b | refuses |
      | entry-a, desk-a | entry-b, desk-b | hangs   |

  Scenario Outline: <killed> replaced while the log <fault> are filled by the newest peer
    # A replaced entry first says "starting"; its first answer is by the newest contract.
    Given the deployment of the configuration matrix
    When 1 changes are accepted in the configuration matrix
    Then in the configuration matrix everyone have the newest change
    When in the configuration matrix the log <fault>
    And in the configuration matrix <killed> are killed
    And in the configuration matrix <killed> are replaced
    Then in the configuration matrix everyone have the newest change
    And the configuration matrix is whole again, and nobody went back

    Examples:
      | killed           | fault   |
      | entry-a          | refuses |
      | entry-a          | hangs   |
      | desk-a           | refuses |
      | entry-a, desk-a  | refuses |
      | entry-a, entry-b | refuses |
      | desk-a, desk-b   | hangs   |

  Scenario: Entries replaced in an outage take the newest peer's configuration, not a lagging one's
    # desk-a has missed two changes; the entries that knew them are gone, and the log is down.
    Given the deployment of the configuration matrix
    When in the configuration matrix log-desk-a, link-desk-a are cut off
    And 2 changes are accepted in the configuration matrix
    Then in the configuration matrix entry-a, entry-b, desk-b have the newest change
    When in the configuration matrix the log refuses
    And in the configuration matrix entry-a, entry-b are killed
    And in the configuration matrix link-desk-a are connected again
    And in the configuration matrix entry-a, entry-b are replaced
    Then in the configuration matrix everyone have the newest change
    And the configuration matrix is whole again, and nobody went back

  Scenario: An entry that has heard of newer records serves nothing until it has them
    # A peer tells of more than it sends. What the other peers have may be out of date, so a
    # replaced entry that the log can't tell better says "starting"; with the log it goes on.
    Given a deployment of the configuration matrix with entries that have no flags
    When a sidecar joins the configuration matrix that tells of newer records and sends none
    And in the configuration matrix the log refuses
    And in the configuration matrix entry-a are killed
    And in the configuration matrix entry-a are replaced
    Then in the configuration matrix entry-a serve nothing and say so
    When in the configuration matrix the log works
    Then in the configuration matrix everyone have the newest change

  Scenario Outline: With everything replaced while the log <fault> nothing is served until it is back
    # Nobody knows what is in force. Callers hear 503 "starting", not 404 as if there were no
    # contract, and the balancer hears that the entries are not ready.
    Given the deployment of the configuration matrix
    When 1 changes are accepted in the configuration matrix
    And in the configuration matrix the log <fault>
    And in the configuration matrix everyone are killed
    And in the configuration matrix everyone are replaced
    Then in the configuration matrix entry-a, entry-b serve nothing and say so
    When in the configuration matrix the log works
    Then in the configuration matrix everyone have the newest change
    And the configuration matrix is whole again, and nobody went back

    Examples:
      | fault   |
      | refuses |

  Scenario Outline: A record that is none of ours, <record>, stops nobody
    # Anyone with access may write to the stream; everyone goes on, with the same in force.
    Given the deployment of the configuration matrix
    When the record <record> is written into the configuration matrix
    Then in the configuration matrix everyone have the newest change
    When 1 changes are accepted in the configuration matrix
    Then in the configuration matrix everyone have the newest change
    And the configuration matrix is whole again, and nobody went back

    Examples:
      | record                                           |
      | 7                                                |
      | {"kind": "contract", "document": {"customer": 3}} |
      | {"kind": "something-newer", "value": [1]}        |

  Scenario Outline: A snapshot <fault> takes nothing back
    Given the deployment of the configuration matrix
    When a snapshot <fault> is written into the configuration matrix
    And in the configuration matrix entry-a, desk-a are killed
    And in the configuration matrix entry-a, desk-a are replaced
    And 1 changes are accepted in the configuration matrix
    Then in the configuration matrix everyone have the newest change
    And the configuration matrix is whole again, and nobody went back

    Examples:
      | fault                        |
      | that lacks contracts         |
      | that covers what comes later |

  Scenario: A bad document is refused with all its faults and changes nothing
    Given the deployment of the configuration matrix
    When a document with two faults is published in the configuration matrix
    Then in the configuration matrix everyone have the newest change
    And the configuration matrix is whole again, and nobody went back

  Scenario: After retention a process starts from a snapshot alone
    # Snapshots are written; one of a writer that was paused comes late and covers less. The log
    # then deletes the record of the newest change, and everything is replaced, without links.
    Given a deployment of the configuration matrix with entries that have --snapshot_interval_ms 100
    When a writer of snapshots is paused in the configuration matrix
    And 2 changes are accepted in the configuration matrix
    Then the log of the configuration matrix has a snapshot of the newest change
    When the paused writer goes on in the configuration matrix
    And the log of the configuration matrix deletes the record of the newest change
    And in the configuration matrix link-desk-a, link-desk-b are cut off
    And in the configuration matrix everyone are killed
    And in the configuration matrix everyone are replaced
    Then in the configuration matrix everyone have the newest change
    And show in the configuration matrix tells the newest change

  Scenario: A process replaced in an outage is filled by peers that began with a snapshot
    # The peers never had the records before it, so they hand over all that is in force at once.
    Given a deployment of the configuration matrix with entries that have --snapshot_interval_ms 100
    When 2 changes are accepted in the configuration matrix
    Then the log of the configuration matrix has a snapshot of the newest change
    When the log of the configuration matrix deletes the record of the newest change
    And in the configuration matrix everyone are killed
    And in the configuration matrix everyone are replaced
    Then in the configuration matrix everyone have the newest change
    When in the configuration matrix the log refuses
    And in the configuration matrix entry-a, desk-a are killed
    And in the configuration matrix entry-a, desk-a are replaced
    Then in the configuration matrix everyone have the newest change

  Scenario: Where retention came before a snapshot a process starts from peers, or serves nothing
    # No snapshot is due for long. The log deletes the record of the newest change. With links a
    # replaced entry is filled by a sidecar; with everything replaced nobody knows.
    Given a deployment of the configuration matrix with entries that have no flags
    When the log of the configuration matrix deletes the record of the newest change
    And in the configuration matrix entry-a are killed
    And in the configuration matrix entry-a are replaced
    Then in the configuration matrix everyone have the newest change
    And show in the configuration matrix ends 4 holds no snapshot
    When in the configuration matrix everyone are killed
    And in the configuration matrix everyone are replaced
    Then in the configuration matrix entry-a, entry-b serve nothing and say so

  Scenario: Claims deleted before an entry has read them are reported
    Given a deployment of the configuration matrix with entries that have no flags
    When in the configuration matrix log-entry-a are cut off
    And claims that entry-a has not read are deleted in the configuration matrix
    And in the configuration matrix log-entry-a are connected again
    Then entry-a reports in the configuration matrix that claims were deleted
