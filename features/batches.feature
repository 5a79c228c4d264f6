Feature: Batches in the platform's log
  Entries share one log in memory. Items are numbered from 0; a result is written number=text.

  Scenario Outline: Listed results never change, whichever entry writes and however often
    # A trainer must read each sample once, at the same position at every entry. Guards against changes
    # when two entries run the same item, or when an append takes effect twice or late or is repeated.
    Given two entries on one log and a batch of 3 items
    When the entries write <writes>
    Then both entries list <listed>

    Examples:
      | writes                           | listed        |
      | a:0=x a:1=y b:2=z                | 0=x 1=y 2=z   |
      | a:0=x b:0=other                  | 0=x           |
      | b:2=z a:0=x b:2=z                | 2=z 0=x       |
      | a:lost a:0=x a:0=x b:1=y         | 0=x 1=y       |
      | a:late a:0=x b:0=other late b:1=y | 0=x 1=y       |
      | a:late a:0=x late b:1=y          | 0=x 1=y       |
      | a:7=beyond a:1=y                 | 1=y           |
      | garbage a:0=x garbage b:1=y      | 0=x 1=y       |

  Scenario Outline: A batch is reported as refused only if it can never run
    # After a refusal the trainer submits the batch again and relies on the first one never running.
    # An append that was not answered may have taken effect, so it is not reported as refused.
    Given two entries on one log
    When entry a accepts a batch with the log fault: <fault>
    Then the acceptance of entry a is <outcome>
    And entry b finds the batch: <found>

    Examples:
      | fault              | outcome  | found |
      | nothing            | accepted | yes   |
      | nothing, for 400 kB | accepted | yes  |
      | nothing, for 2 MB  | accepted | yes   |
      | nothing, for 6 MB  | accepted | yes   |
      | nothing, for 36 MB | impossible | no  |
      | lose call 1 of the content, for 6 MB | refused | no |
      | lose call 4 of the content, for 6 MB | refused | no |
      | lose call 7 of the content, for 6 MB | refused | no |
      | lose the index, for 6 MB  | unknown  | yes |
      | delay the index, for 6 MB | unknown  | no  |
      | down               | refused  | no    |
      | lose the content   | refused  | no    |
      | lose the index     | unknown  | yes   |
      | delay the index    | unknown  | no    |
      | lose the index once and then reject it | unknown | yes |

  Scenario Outline: A batch is reported as missing only if the index was read to its end
    # "No such batch" makes a trainer give up its step. An entry first reads the rest of the index, and
    # answers that it is unsure if the log does not answer.
    Given two entries on one log
    When entry a accepts a batch with the log fault: nothing
    And the log is <state> for entry b
    Then asking entry b for the <batch> batch gives <answer>

    Examples:
      | state | batch    | answer  |
      | up    | accepted | listed  |
      | up    | other    | missing |
      | down  | accepted | unsure  |
      | down  | other    | unsure  |

  Scenario Outline: An entry that can't reach the log answers at once
    # While an entry holds a trainer's call, the trainer asks no other entry. Guards against steps that
    # begin, end or are seen to be complete seconds later than they could be.
    Given two entries on one log and a batch of 3 items
    And the entries write a:0=x
    And entry a can't reach the log and has detected it
    When a trainer asks entry a to <call>
    Then it is answered <answer> within 0.3 s
    And once the log is back, entry a serves the same request

    Examples:
      | call                | answer  |
      | accept a batch      | refused |
      | list more results   | unsure  |
      | list all results    | unsure  |
      | list another batch  | unsure  |
      | end the batch       | refused |

  Scenario: An entry whose read was refused by the log still tries
    # A log that refuses answers at once, so another attempt doesn't delay the trainer and may succeed.
    Given two entries on one log and a batch of 3 items
    And a read of entry a was refused by the log
    When a trainer asks entry a to accept a batch
    Then it is accepted

  Scenario: A trainer that waits at an entry is answered as soon as the log is found unreachable
    Given two entries on one log and a batch of 3 items
    When a trainer waits at entry a for 3 s and the log becomes unreachable
    Then it is answered unsure within 1.3 s

  Scenario: A page without records does not advance the read offset
    # A read that found nothing is answered with the log's end just as a record is appended. An entry
    # that continues from that end misses the record: all later results of the batch are listed one
    # position too early there, and a trainer that switches entries reads one twice and misses another.
    Given two entries on one log and a batch of 3 items
    When the entries write a:0=x
    And the entries write b:hollow a:1=y b:2=z
    Then both entries list 0=x 1=y 2=z

  Scenario: One page lists results whose texts two entries wrote in another order
    # Guards against a page that ends after one result, so that a trainer asks once for each result.
    Given two entries on one log and a batch of 3 items
    When entry b writes 1=y while entry a, which has stored its text, writes 0=x
    And the entries write a:2=z
    Then a single page of both entries lists 1=y 0=x 2=z

  Scenario: An ended batch stays readable and is no longer run
    Given two entries on one log and a batch of 3 items
    When the entries write a:0=x a:end b:1=y
    Then both entries list 0=x 1=y
    And the batch is open for neither entry

  Scenario Outline: A submission of several records or appends is read back unchanged
    Given two entries on one log
    When entry a accepts a batch with the log fault: nothing, for <size>
    Then entry b reads the submission of entry a

    Examples:
      | size   |
      | 400 kB |
      | 2 MB   |
      | 6 MB   |

  Scenario Outline: A large submission is read in several attempts, each of which continues the last
    # Guards against a batch that never runs because its submission takes longer to read than one
    # attempt may last.
    Given two entries on one log
    And entry b can read the log only <reads> times in one attempt
    When entry a accepts a batch with the log fault: nothing, for <size>
    Then after <attempts> attempts entry b has read the submission of entry a

    Examples:
      | size   | reads | attempts |
      | 400 kB | 1     | 1        |
      | 2 MB   | 1     | 3        |
      | 6 MB   | 3     | 3        |
      | 6 MB   | 30    | 1        |

  Scenario: Another entry resumes an item from its longest partial text
    Given two entries on one log and a batch of 3 items
    When entry a appends the partial text "one\ntwo" of item 1 with 2 events
    And entry a appends the partial text "one" of item 1 with 1 events
    Then entry b resumes item 1 from "one\ntwo"

  Scenario Outline: An entry with a waiting trainer, or that runs batches, reads the index without a pause
    # Guards against steps that begin and end late because the index is read only after a pause.
    Given two entries on one log and a batch of 20 items
    And entry b follows the log and <what>
    When entry a writes 20 results, each after entry b has read the previous one
    Then entry b has read all of them within 2 s

    Examples:
      | what                       |
      | has a trainer that waits   |
      | runs batches               |
