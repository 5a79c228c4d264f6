Feature: What became of a key at its sidecar
  The ledger starts a key once or seals it; everything else about at-most-once rests on that.

  Scenario Outline: A message for a key gets the answer that its history calls for
    # A caller tries again through another entry, or an entry wakes up late and sends what it had
    # claimed. Whatever the order, the key's request starts at most once, and "not-run" is only
    # said of a key that never starts afterwards.
    Given a ledger of incarnation "now"
    When the ledger's key sees <history>
    Then the ledger's last answer is <answer>
    And the ledger's key was started <starts> times

    Examples:
      | history                                  | answer                            | starts |
      | run 1                                    | nothing yet                       | 1      |
      | run 1, run 1                             | nothing yet                       | 1      |
      | run 1, end done                          | done                              | 1      |
      | run 1, end done, run 1                   | done                              | 1      |
      | run 1, end done, join 1                  | done                              | 1      |
      | run 1, join 1, end done                  | done                              | 1      |
      | run 1, end unknown, join 1               | unknown                           | 1      |
      | run 1, end not-run, join 1               | not-run sealed                    | 1      |
      | run 1, end not-run, run 1                | not-run sealed                    | 1      |
      | run 1, end not-run, run 2                | not-run                           | 2      |
      | join 1                                   | not-run sealed                    | 0      |
      | join 1, run 1                            | not-run sealed                    | 0      |
      | join 1, run 2                            | not-run sealed                    | 1      |
      | join 2, run 1                            | not-run sealed                    | 0      |
      | join 1, join 2, run 2                    | not-run sealed                    | 0      |
      | run 1, end done, join 2                  | done                              | 1      |
      | run 1 for another incarnation            | not-run incarnation-gone          | 0      |
      | join 1 for another incarnation           | unknown incarnation-gone          | 0      |
      | run 1, join 1 with another body          | unknown key-used-for-another-body | 1      |
      | run 1, end done, run 1 with another body | unknown key-used-for-another-body | 1      |
      | ticket                                   | nothing yet                       | 1      |
      | ticket, ticket                           | nothing yet                       | 1      |
      | ticket, end done, ticket                 | done                              | 1      |
      | ticket, end not-run, ticket              | not-run sealed                    | 1      |
      | ticket, end not-run, run 1               | not-run                           | 2      |
      | ticket, end not-run, run 1, ticket       | not-run                           | 2      |
      | ticket for another incarnation           | unknown incarnation-gone          | 0      |

  Scenario Outline: At its bounds the ledger says unknown rather than start or seal
    # The key ran, its entry was forgotten to make room, and its caller comes back. Sealing it
    # now would let it run a second time elsewhere.
    Given a ledger of incarnation "now" that keeps <keys> keys and <bytes> bytes
    When 3 other keys run and end after the ledger's key has ended
    And the ledger's key sees <history>
    Then the ledger's last answer is <answer>
    And the ledger's key was started 1 times

    Examples:
      | keys | bytes | history | answer                        |
      | 2    | 1000  | join 1  | unknown key-forgotten         |
      | 2    | 1000  | run 1   | unknown key-forgotten         |
      | 9    | 4     | join 1  | unknown answer-no-longer-kept |
      | 9    | 1000  | join 1  | done                          |

  Scenario: A ticket's key that went on by a claim is forgotten as both
    # The ticket was sealed, its key then ran here by a claim and was forgotten to make room. The
    # ticket comes once more, late; were only the claim remembered as forgotten, it would start.
    Given a ledger of incarnation "now" that keeps 2 keys and 1000 bytes
    When the ledger's key sees ticket, end not-run, run 1, end done
    And 3 other keys run and end
    And the ledger's key sees ticket
    Then the ledger's last answer is unknown key-forgotten
    And the ledger's key was started 2 times
