Feature: The ledger of non-repeatable keys at a sidecar
  The ledger starts a key once or seals it; at-most-once execution depends on this.

  Scenario Outline: The answer to a message depends on the key's earlier messages
    # A caller may retry through another entry, and a suspended entry may send a claimed request
    # late. In any order the key starts at most once for each attempt, and an attempt that was
    # answered "not-run" never starts afterwards.
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
      | find                                     | not-run key-unseen                | 0      |
      | find, run 1                              | not-run key-unseen                | 1      |
      | run 1, find                              | unknown still-running             | 1      |
      | run 1, end done, find                    | done                              | 1      |
      | run 1, end unknown, find                 | unknown                           | 1      |
      | join 1, find                             | not-run sealed                    | 0      |
      | run 1, find with another body            | unknown key-used-for-another-body | 1      |

  Scenario Outline: Evicted keys and answers are reported as unknown
    # The key ran and was evicted, and its caller retries. Sealing the key now would allow a second
    # run at another sidecar.
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

  Scenario: A ticket's key that was then claimed is evicted as ticket and as claim
    # The ticket was sealed, then its key ran here by a claim and was evicted. When the ticket arrives
    # again late, it would start if only the claim were recorded as evicted.
    Given a ledger of incarnation "now" that keeps 2 keys and 1000 bytes
    When the ledger's key sees ticket, end not-run, run 1, end done
    And 3 other keys run and end
    And the ledger's key sees ticket
    Then the ledger's last answer is unknown key-forgotten
    And the ledger's key was started 2 times
