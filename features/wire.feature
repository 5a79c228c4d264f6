Feature: Messages between processes
  An invalid frame closes the connection of its sender and has no other effect.

  Scenario Outline: An invalid frame is rejected with the location of each error
    # Callers of the faulty peer get "unknown" or a retry elsewhere. The receiver keeps serving its
    # other peers, as the error is returned as a value and closes only that connection.
    When the frame <frame> is decoded
    Then the findings name <places>

    Examples:
      | frame                                            | places                               |
      | 01                                               | frame                                |
      | "text"                                           | frame                                |
      | ff00                                             | frame                                |
      | {"type": "Nonsense"}                             | type                                 |
      | {"type": 7}                                      | type                                 |
      | {"type": "Cancel"}                               | Cancel.request_id                    |
      | {"type": "Cancel", "request_id": 5}              | Cancel.request_id                    |
      | {"type": "Join", "request_id": "a", "attempt": true} | Join.incarnation, Join.customer, Join.key, Join.digest, Join.attempt, Join.shard, Join.claim_offset, Join.budget_ms |

  Scenario: A field that a later release added is ignored
    When the frame {"type": "Cancel", "request_id": "a", "added": 1} is decoded
    Then the message is a Cancel

  Scenario: An optional field with a value is accepted
    When the frame {"type": "Records", "offsets": [], "times_ms": [], "values": [], "snapshot": {"through": 1}} is decoded
    Then the message is a Records
