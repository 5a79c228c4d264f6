Feature: Messages between processes
  A peer that sends anything but a message loses its own connection, and nothing else.

  Scenario Outline: A frame that is no message is rejected with the place of each fault
    # The caller of a broken peer sees "unknown" or a retry elsewhere; the receiver keeps serving
    # everyone else, since the fault is returned as a value and ends only that connection.
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

  Scenario: A snapshot is taken where it may be missing
    When the frame {"type": "Records", "offsets": [], "times_ms": [], "values": [], "snapshot": {"through": 1}} is decoded
    Then the message is a Records
