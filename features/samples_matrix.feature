Feature: Samples reach their trainer once, not stale and correctly labelled, whatever fails

  # A trainer takes one step of 16 samples of 32 tokens. Two engines with four slots each generate them,
  # so half of them wait at first. Paused engines and relays that hold an answer keep the samples at a
  # named stage; the faults of the row then occur in order, and `released` ends the hold.
  # Wasted tokens are those beyond one step's; `unheld` stands for the tokens of the samples that the
  # trainer did not hold at that moment: a lost collector wastes these once, and never a held sample.

  Scenario Outline: The collecting entry fails
    # The trainer's pending call fails or is answered "step unknown". The trainer registers the step at
    # the next entry, which learns from it which samples are held and generates the others again.
    Given a samples deployment
    When the samples of trainer near have reached stage <stage>
    And these deployment events occur: <faults>
    Then the samples arrive once, not stale and correctly labelled, with at most <wasted> wasted tokens

    Examples:
      | stage          | faults                                                                | wasted       |
      | put            | entry-a killed, released                                              | unheld       |
      | dispatched     | entry-a killed, entry-a restarted, released                           | unheld       |
      | streaming      | entry-a killed, released                                              | unheld       |
      | swapped        | entry-a killed, released                                              | unheld       |
      | finished       | entry-a killed, released                                              | unheld       |
      | partly held    | entry-a killed, entry-a restarted, released                           | unheld       |
      | answered       | entry-a killed, released                                              | unheld       |
      | answered again | entry-a killed, entry-b killed, entry-a restarted, released           | unheld-twice |
      | partly held    | entry-a frozen, trainer-at entry-b, released, entry-a thawed          | unheld-twice |
      | answered       | entry-a frozen, trainer-at entry-b, entry-a thawed, released          | unheld-twice |
      | streaming      | entry-a told-to-stop, released, entry-a ended                         | unheld       |
      | partly held    | entry-a told-to-stop, released, entry-a ended, entry-b told-to-stop, entry-a restarted | unheld-twice |

  Scenario Outline: A sidecar fails
    # The entry detects that the link closed, keeps the streamed text and resumes the samples on another
    # engine; the trainer only gets a later answer. A sidecar that stops as planned finishes its work.
    Given a samples deployment
    When the samples of trainer near have reached stage <stage>
    And these deployment events occur: <faults>
    Then the samples arrive once, not stale and correctly labelled, with at most <wasted> wasted tokens

    Examples:
      | stage          | faults                                                                | wasted |
      | dispatched     | designs-a killed, designs-a restarted, released                       | 128  |
      | streaming      | designs-a killed, designs-b killed, designs-a restarted, designs-b restarted, released | 128  |
      | swapped        | designs-a killed, released, designs-a restarted                       | 128  |
      | partly held    | designs-b killed, designs-b restarted, released                       | 128  |
      | streaming      | designs-a frozen, peers 1, released, designs-a thawed                 | 128  |
      | streaming      | designs-a told-to-stop, released, designs-a ended                     | 0    |
      | answered again | designs-a killed, designs-b killed, released, designs-a restarted, designs-b restarted | 256  |

  Scenario Outline: An engine fails
    # Streams break off, and the samples are resumed from the streamed text on any engine in rotation.
    # A restarted engine has its initial weights until its sidecar loads the version in force.
    Given a samples deployment
    When the samples of trainer near have reached stage <stage>
    And these deployment events occur: <faults>
    Then the samples arrive once, not stale and correctly labelled, with at most <wasted> wasted tokens

    Examples:
      | stage       | faults                                                                     | wasted |
      | put         | designs-a-engine cuts-streams, designs-b-engine cuts-streams, released     | 0    |
      | streaming   | designs-a-engine killed, released, designs-a-engine restarted              | 0    |
      | swapped     | designs-a-engine killed, designs-a-engine restarted, released              | 0    |
      | dispatched  | designs-a-engine frozen, released, held 8, designs-a-engine thawed, released | 0    |
      | partly held | designs-b-engine killed, designs-a killed, released, designs-a restarted, designs-b-engine restarted | 0    |

  Scenario Outline: A connection fails
    # After a lost, truncated or damaged answer the trainer does not list its samples as held, and they
    # are sent again. A trainer that gives up on an entry switches to the other one.
    Given a samples deployment
    When the samples of trainer near have reached stage <stage>
    And these deployment events occur: <faults>
    Then the samples arrive once, not stale and correctly labelled, with at most <wasted> wasted tokens

    Examples:
      | stage          | faults                                                                | wasted |
      | put            | trainer-entry-a dropped, released                                     | unheld |
      | answered       | trainer-entry-a dropped, released                                     | unheld |
      | answered again | trainer-entry-a dropped, released                                     | unheld |
      | finished       | trainer-entry-a cuts-an-answer, trainer-entry-a cuts-an-answer, released, spoiled trainer-entry-a | 0      |
      | partly held    | trainer-entry-a damages-an-answer, trainer-entry-a cuts-an-answer, released, spoiled trainer-entry-a | 0      |
      | dispatched     | trainer-entry-a holds-requests, trainer-at entry-b, trainer-entry-a healed, released | unheld |
      | partly held    | trainer-entry-a holds-answers, trainer-at entry-b, released, trainer-entry-a healed | unheld |
      | streaming      | link-designs-a cut, released, link-designs-a healed                   | 128    |
      | streaming      | link-designs-a holds-requests, released, link-designs-a healed        | 128    |
      | swapped        | link-designs-a holds-answers, peers 1, released, link-designs-a healed | 128    |
      | streaming      | service-designs-a dropped, link-designs-b dropped, released           | 256    |
      | dispatched     | service-designs-a holds-answers, released, service-designs-a healed   | 128    |

  Scenario Outline: The platform fails
    # Collecting samples appends nothing to the log, so a log that is down or slow delays nothing. Restarted
    # processes get the contracts from their peers. Without the weight store engines keep their weights.
    Given a samples deployment where <before>
    When the samples of trainer near have reached stage <stage>
    And these deployment events occur: <faults>
    Then the samples arrive once, not stale and correctly labelled, with at most <wasted> wasted tokens

    Examples:
      | before        | stage       | faults                                                       | wasted |
      | log refuses   | streaming   | released                                                     | 0      |
      | log hangs     | partly held | designs-b killed, designs-b restarted, released              | 128    |
      | log slow      | swapped     | entry-a killed, released                                     | unheld |
      | log refuses   | partly held | entry-b killed, entry-b restarted, linked, designs-a killed, designs-a restarted, linked, designs-b killed, designs-b restarted, linked, entry-a killed, entry-a restarted, linked, released | unheld |
      | weights hangs | streaming   | announced 2, designs-a-engine killed, designs-a-engine restarted, released | 0      |

  Scenario Outline: Two entries collect the same step
    # The trainer switches to the other entry, gets samples there, and returns to the first, which has
    # generated the same samples. Each answer leaves out the samples that its own pull lists as held.
    Given a samples deployment
    When the samples of trainer near have reached stage <stage>
    And these deployment events occur: <faults>
    Then the samples arrive once, not stale and correctly labelled, with at most <wasted> wasted tokens

    Examples:
      | stage       | faults                                                                         | wasted |
      | finished    | trainer-entry-a cut, trainer-at entry-b, held 4, trainer-entry-a healed, trainer-entry-b cut, released | unheld |
      | partly held | trainer-entry-a cut, trainer-at entry-b, released, held 12, trainer-entry-a healed, trainer-entry-b cut | unheld |

  Scenario Outline: The trainer's version rises in the middle of a step
    # All 16 samples are pending at the entry when the trainer takes four and raises its version. Only
    # the samples that now exceed its staleness bound are generated again.
    Given a samples deployment
    When trainer <trainer> starts with --raises <raises> and its samples have reached stage finished
    And these deployment events occur: released
    Then trainer process trainer receives every sample of 1 steps once, not stale and correctly labelled
    And <made> complete samples were generated in total

    Examples:
      | trainer | raises | made |
      | fresh   | 1      | 28   |
      | near    | 1      | 16   |
      | near    | 2      | 28   |
      | far     | 2      | 16   |
      | far     | 3      | 28   |

  Scenario Outline: The version rises under a fault
    # The trainer takes four samples and raises its version. Streams and pending samples become stale
    # while the entry or an engine fails. Guards against a stale sample from the process that takes over.
    Given a samples deployment
    When trainer <trainer> starts with --raises <raises> and its samples have reached stage <stage>
    And these deployment events occur: <faults>
    Then trainer process trainer receives every sample of 1 steps once, not stale and correctly labelled

    Examples:
      | trainer | raises | stage    | faults                                                              |
      | near    | 1      | swapped  | released                                                            |
      | fresh   | 1      | answered | entry-a killed, released                                            |
      | fresh   | 2      | finished | designs-a-engine killed, designs-a-engine restarted, released       |
      | near    | 2      | finished | trainer-entry-a cuts-an-answer, released, designs-b killed, designs-b restarted |

  Scenario Outline: Weights change in mid-stream, with either objective
    # Each stream has a quarter of its tokens when its engine changes weights. For a trainer with the
    # objective staleness they are discarded and generated again; otherwise the sample has both versions.
    Given a samples deployment
    When the samples of trainer <trainer> have reached stage swapped
    And these deployment events occur: released
    Then the samples arrive once, not stale and correctly labelled, with at most <wasted> wasted tokens
    And the stalest sample was <staleness> versions old

    Examples:
      | trainer | staleness | wasted |
      | current | 0         | 256  |
      | near    | 1         | 0    |

  Scenario Outline: The trainer restarts
    # Its new run has a higher incarnation and the samples of its checkpoint. Only the other samples of
    # the step are generated for it; or it repeats an older step, which its earlier run had completed.
    Given a samples deployment
    When trainer near starts with --first-step 5 and its samples have reached stage partly held
    And these deployment events occur: <faults>
    And the trainer of the samples is killed and restarted with --incarnation 2 <flags>
    And these deployment events occur: <after>
    Then <result>

    Examples:
      | faults         | flags                                          | after    | result                                                                       |
      | peers 2        | --first-step 5 --held {held}                   | released | the restarted trainer receives its remaining samples once, not stale and correctly labelled |
      | entry-a killed | --first-step 5 --held {held} --states-held     | released | the restarted trainer receives its remaining samples once, not stale and correctly labelled |
      | log refuses    | --first-step 4 --steps 2                       | released | trainer process trainer receives every sample of 2 steps once, not stale and correctly labelled |

  Scenario Outline: Two runs of a trainer at the same time
    # The older run is refused as superseded and ends once its entry knows of the newer one; while the
    # log is down, another entry does not learn of it. Neither run gets a sample twice.
    Given a samples deployment
    When the samples of trainer near have reached stage partly held
    And these deployment events occur: <faults>
    And a second trainer near of the samples starts at <entry>
    And these deployment events occur: second-put <entry>, <after>
    Then trainer process second receives every sample of 1 steps once, not stale and correctly labelled
    And <first>

    Examples:
      | faults      | entry   | after    | first                                                                        |
      | peers 2     | entry-a | exited trainer, released | trainer process trainer ends as superseded, without a duplicate sample |
      | peers 2     | entry-b | exited trainer, released | trainer process trainer ends as superseded, without a duplicate sample |
      | log refuses | entry-b | released | trainer process trainer receives every sample of 1 steps once, not stale and correctly labelled |

  Scenario: A step is registered again with other groups
    # A second process under the same trainer name registers the step with other prompts. It is refused,
    # and the samples of the first registration arrive unaffected.
    Given a samples deployment
    When the samples of trainer near have reached stage partly held
    Then a registration of the samples' step with other groups at entry-a is a conflict
    When these deployment events occur: released
    Then the samples arrive once, not stale and correctly labelled, with at most 0 wasted tokens
