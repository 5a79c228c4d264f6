Feature: An accepted configuration reaches every process within seconds and never reverts
  Two entries and two sidecars run as processes. Each change is a contract with an operation of its
  own, so an entry's answer shows which contract it uses. In every scenario the entries are polled
  all the time, and an entry that uses an older change after a newer one fails the scenario.

  Scenario Outline: The publish command reports the actual outcome while the log <fault>
    # The operator sees accepted, not published, or unknown, and never a wrong one of these. A record
    # of unknown outcome may take effect later; publishing it again results in one accepted record.
    Given the deployment of the configuration matrix
    When in the configuration matrix the log <fault>
    And ann publishes in the configuration matrix, within <wait_ms> ms, and ends <ending>
    And in the configuration matrix the log works
    And ann publishes the same again in the configuration matrix and it is accepted once
    Then in the configuration matrix everyone have the newest change
    And show in the configuration matrix prints the newest change
    And the configuration matrix has recovered, and no entry reverted to an older change

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

  Scenario: The second of two concurrent publishers learns who was first
    # Ann has read the current contract and is paused before her append succeeds. Bo publishes on the
    # same base. Ann's record is then the second, so it is void, and her command names Bo.
    Given the deployment of the configuration matrix
    When ann starts to publish in the configuration matrix and is paused before her append
    And bo publishes in the configuration matrix and wins
    Then ann goes on in the configuration matrix and ends 3 by bo is in force
    And in the configuration matrix everyone have the newest change
    And the configuration matrix has recovered, and no entry reverted to an older change

  Scenario: An append that takes effect after a concurrent one changes nothing
    # Ann's command ends with an unknown outcome. Bo publishes on the same base, and then Ann's record
    # takes effect.
    Given the deployment of the configuration matrix
    When in the configuration matrix the log is late always
    And ann publishes in the configuration matrix, within 1 ms, and ends 4 not known whether
    And in the configuration matrix the log works
    And bo publishes in the configuration matrix and wins
    Then ann's late change is void in the configuration matrix
    And in the configuration matrix everyone have the newest change
    And the configuration matrix has recovered, and no entry reverted to an older change

  Scenario Outline: A change spreads over the remaining connections while <relays> are cut
    # Every entry uses the new contract while the connections are still cut.
    Given the deployment of the configuration matrix
    When in the configuration matrix <relays> are cut off
    And 2 changes are accepted in the configuration matrix
    Then in the configuration matrix everyone have the newest change
    And the configuration matrix has recovered, and no entry reverted to an older change

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

  Scenario Outline: An isolated process catches up once <healed> is healed
    # It can't learn of the changes, so it keeps using its contract until the connection is healed.
    Given the deployment of the configuration matrix
    When in the configuration matrix <relays> are cut off
    And 3 changes are accepted in the configuration matrix
    Then in the configuration matrix <lagging> still use the first change
    And in the configuration matrix <others> have the newest change
    When in the configuration matrix <healed> are connected again
    Then in the configuration matrix everyone have the newest change
    And the configuration matrix has recovered, and no entry reverted to an older change

    Examples:
      | relays                                | lagging | others          | healed                   |
      | log-entry-a, link-desk-a, link-desk-b | entry-a | entry-b, desk-a | log-entry-a              |
      | log-entry-a, link-desk-a, link-desk-b | entry-a | entry-b, desk-a | link-desk-a              |
      | log-desk-a, link-desk-a               | none    | entry-a, desk-b | link-desk-a              |
      | log-desk-a, link-desk-a               | none    | entry-a, desk-b | log-desk-a               |

  Scenario Outline: A change that one process has read spreads while the log <fault>
    # Only entry-b has read the change when the log fails; the others get it from peers.
    Given the deployment of the configuration matrix
    When in the configuration matrix <relays> are cut off
    And 1 changes are accepted in the configuration matrix
    Then in the configuration matrix entry-b have the newest change
    When in the configuration matrix the log <fault>
    And in the configuration matrix <relays> are connected again
    Then in the configuration matrix everyone have the newest change
    And the configuration matrix has recovered, and no entry reverted to an older change

    Examples:
      | fault   | relays                                                        |
      | refuses | log-entry-a, log-desk-a, log-desk-b, link-desk-a, link-desk-b |
      | hangs   | log-entry-a, log-desk-a, log-desk-b, link-desk-a, link-desk-b |

  Scenario Outline: <frozen> frozen during several changes catch up when thawed while the log <fault>
    # A thawed process may use its old contract until its next poll or heartbeat. After that it uses
    # the newest contract and never reverts.
    Given the deployment of the configuration matrix
    When in the configuration matrix <frozen> are frozen
    And 3 changes are accepted in the configuration matrix
    Then in the configuration matrix <others> have the newest change
    When in the configuration matrix the log <fault>
    And in the configuration matrix <frozen> are thawed
    Then in the configuration matrix everyone have the newest change
    And the configuration matrix has recovered, and no entry reverted to an older change

    Examples:
      | frozen          | others          | fault   |
      | entry-a         | entry-b, desk-b | works   |
      | entry-a         | entry-b, desk-b | refuses |
      | desk-a          | entry-a, entry-b | refuses |
      | entry-a, desk-a | entry-b, desk-b | hangs   |

  Scenario Outline: <killed> replaced while the log <fault> get the configuration of the newest peer
    # A replaced entry first answers "starting"; its first other answer uses the newest contract.
    Given the deployment of the configuration matrix
    When 1 changes are accepted in the configuration matrix
    Then in the configuration matrix everyone have the newest change
    When in the configuration matrix the log <fault>
    And in the configuration matrix <killed> are killed
    And in the configuration matrix <killed> are replaced
    Then in the configuration matrix everyone have the newest change
    And the configuration matrix has recovered, and no entry reverted to an older change

    Examples:
      | killed           | fault   |
      | entry-a          | refuses |
      | entry-a          | hangs   |
      | desk-a           | refuses |
      | entry-a, desk-a  | refuses |
      | entry-a, entry-b | refuses |
      | desk-a, desk-b   | hangs   |

  Scenario: Entries replaced during an outage use the newest peer's configuration
    # desk-a has missed two changes, the entries that had them were killed, and the log is down.
    Given the deployment of the configuration matrix
    When in the configuration matrix log-desk-a, link-desk-a are cut off
    And 2 changes are accepted in the configuration matrix
    Then in the configuration matrix entry-a, entry-b, desk-b have the newest change
    When in the configuration matrix the log refuses
    And in the configuration matrix entry-a, entry-b are killed
    And in the configuration matrix link-desk-a are connected again
    And in the configuration matrix entry-a, entry-b are replaced
    Then in the configuration matrix everyone have the newest change
    And the configuration matrix has recovered, and no entry reverted to an older change

  Scenario: An entry that knows of newer records refuses requests until it has them
    # A peer reports a higher offset than it sends records for, so the other peers may be out of date.
    # A replaced entry that can't read the log either answers "starting" until the log works.
    Given a deployment of the configuration matrix with entries that have no flags
    When a sidecar that reports newer records but sends none joins the configuration matrix
    And in the configuration matrix the log refuses
    And in the configuration matrix entry-a are killed
    And in the configuration matrix entry-a are replaced
    Then in the configuration matrix entry-a answer every request with starting
    When in the configuration matrix the log works
    Then in the configuration matrix everyone have the newest change

  Scenario Outline: Requests are refused after every process was replaced while the log <fault>
    # No process knows the configuration. Callers get 503 "starting" rather than 404, which would mean
    # that there is no contract, and the readiness checks fail.
    Given the deployment of the configuration matrix
    When 1 changes are accepted in the configuration matrix
    And in the configuration matrix the log <fault>
    And in the configuration matrix everyone are killed
    And in the configuration matrix everyone are replaced
    Then in the configuration matrix entry-a, entry-b answer every request with starting
    When in the configuration matrix the log works
    Then in the configuration matrix everyone have the newest change
    And the configuration matrix has recovered, and no entry reverted to an older change

    Examples:
      | fault   |
      | refuses |

  Scenario Outline: An unknown record, <record>, is skipped
    # Other programs may write to the stream; every process ignores such a record and continues.
    Given the deployment of the configuration matrix
    When the record <record> is written into the configuration matrix
    Then in the configuration matrix everyone have the newest change
    When 1 changes are accepted in the configuration matrix
    Then in the configuration matrix everyone have the newest change
    And the configuration matrix has recovered, and no entry reverted to an older change

    Examples:
      | record                                           |
      | 7                                                |
      | {"kind": "contract", "document": {"customer": 3}} |
      | {"kind": "something-newer", "value": [1]}        |

  Scenario Outline: A snapshot <fault> does not revert the configuration
    Given the deployment of the configuration matrix
    When a snapshot <fault> is written into the configuration matrix
    And in the configuration matrix entry-a, desk-a are killed
    And in the configuration matrix entry-a, desk-a are replaced
    And 1 changes are accepted in the configuration matrix
    Then in the configuration matrix everyone have the newest change
    And the configuration matrix has recovered, and no entry reverted to an older change

    Examples:
      | fault                        |
      | that lacks contracts         |
      | that covers what comes later |

  Scenario: An invalid document is refused with all its faults and changes nothing
    Given the deployment of the configuration matrix
    When a document with two faults is published in the configuration matrix
    Then in the configuration matrix everyone have the newest change
    And the configuration matrix has recovered, and no entry reverted to an older change

  Scenario: After retention a process starts from a snapshot alone
    # Snapshots are written; one by a paused writer arrives late and covers fewer records. The log
    # then deletes the record of the newest change, and all processes are replaced without links.
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
    And show in the configuration matrix prints the newest change

  Scenario: A process replaced during an outage gets a snapshot from peers that started from one
    # The peers never had the records before their snapshot, so they send the whole configuration.
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

  Scenario: If records are deleted before a snapshot, a process starts from peers or refuses requests
    # The log deletes the record of the newest change before a snapshot is due. A replaced entry gets
    # the configuration from a sidecar; once every process is replaced, none has it any more.
    Given a deployment of the configuration matrix with entries that have no flags
    When the log of the configuration matrix deletes the record of the newest change
    And in the configuration matrix entry-a are killed
    And in the configuration matrix entry-a are replaced
    Then in the configuration matrix everyone have the newest change
    And show in the configuration matrix ends 4 holds no snapshot
    When in the configuration matrix everyone are killed
    And in the configuration matrix everyone are replaced
    Then in the configuration matrix entry-a, entry-b answer every request with starting

  Scenario: Claims deleted before an entry has read them are reported
    Given a deployment of the configuration matrix with entries that have no flags
    When in the configuration matrix log-entry-a are cut off
    And claims that entry-a has not read are deleted in the configuration matrix
    And in the configuration matrix log-entry-a are connected again
    Then entry-a reports in the configuration matrix that claims were deleted
