Feature: A trainer that gives up on an entry moves to another one
  The first entry is alive and still collects the step: its answers are late, or lost on the way.

  Scenario: The logs show which entries collected a step
    # Guards against repeated work that no log line explains.
    Given a samples deployment
    When the samples of trainer near have reached stage put
    And these deployment events occur: trainer-at entry-b, released
    Then trainer process trainer receives every sample of 1 steps once, not stale and correctly labelled
    And the log of entry-a says that it opened the step of trainer near
    And the log of entry-b says that it opened the step of trainer near
    And the log of entry-b says that it answered pulls of trainer near with 16 samples in total

  Scenario Outline: The entry that a trainer moves to takes over the samples of its step
    # Guards against a step that is generated twice because its trainer gave up on a slow entry.
    Given a samples deployment
    When the samples of trainer near have reached stage <stage>
    And these deployment events occur: <events>
    Then the samples arrive once, not stale and correctly labelled, with at most 0 wasted tokens

    Examples:
      | stage       | events                                                                            |
      | put         | trainer-at entry-b, released                                                      |
      | dispatched  | trainer-entry-a holds-answers, trainer-at entry-b, released                       |
      | streaming   | trainer-entry-a holds-answers, trainer-at entry-b, released                       |
      | finished    | trainer-at entry-b, released                                                      |
      | partly held | trainer-entry-a holds-answers, trainer-at entry-b, released                       |
      | streaming   | trainer-entry-a holds-answers, trainer-at entry-b, trainer-entry-a healed, trainer-entry-b holds-answers, trainer-at entry-a, released |

  Scenario: The first answer of the new entry has all samples that are ready
    # Guards against a trainer that is handed one sample, raises its version, and so makes the other
    # finished samples stale.
    Given a samples deployment
    When trainer fresh starts with --raises 1 and its samples have reached stage finished
    And these deployment events occur: trainer-at entry-b, released
    Then trainer process trainer receives every sample of 1 steps once, not stale and correctly labelled
    And 28 complete samples were generated in total

  Scenario: An attempt that was started again at the same sidecar can still be cancelled
    # Guards against an engine that goes on with a text that its entry has discarded.
    Given a sidecar that has 2 tokens for entry a
    When entry a starts the sample again and cancels its first attempt
    Then only the first attempt is cancelled

  Scenario: Each registration of a step makes its entry the collector
    # Guards against an entry whose samples are refused after the trainer came back to it, until the
    # trainer's next pull, which may be a minute later.
    Given an entry's API for trainers
    When the same step is registered 2 times
    Then the entry has taken the step 2 times

  Scenario Outline: A sidecar hands a sample over only to the entry that collects its step
    # Guards against an entry that goes on with a step after its trainer has moved, and against tokens
    # of other prompts or of weights that are too old.
    Given a sidecar that has <made> for entry a
    When entry b takes step <step> and asks for the sample <asked>
    Then entry b gets <received>
    And entry a <told>, and a later sample of step 1 for it is <later>

    Examples:
      | made              | step | asked                      | received         | told                | later   |
      | 2 tokens          | 1    | to join it                 | 2 tokens, joined | is told it moved    | refused |
      | 2 tokens          | 1    | anew                       | a new generation | is told nothing     | refused |
      | a finished sample | 1    | to join it                 | a whole sample   | has the whole sample | refused |
      | 2 tokens          | 1    | to join, of a newer version | a new generation | is told nothing     | refused |
      | 2 tokens          | 1    | to join, of another prompt | a new generation | is told nothing     | refused |
      | 2 tokens          | 0    | to join it                 | a new generation | is told nothing     | started |
      | 2 tokens          | 2    | to join it                 | a new generation | is told nothing     | started |
