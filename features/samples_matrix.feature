Feature: Samples reach their trainer once, fresh and truthfully labelled, whatever fails where

  # A trainer takes one step of 16 samples of 32 tokens; two engines of four slots make them, so
  # half of them wait at first. Engines that pause, and relays that hold an answer, keep the samples
  # at a step of their way; there the faults come in the order of the row. `released` ends that hold.
  # "In vain" are tokens beyond those of one step; `unheld` are those of the samples that the trainer
  # did not hold at that moment: a collector that is lost costs these once, and never a held one.

  Scenario Outline: The collecting entry fails
    # The trainer's open call fails or is answered "step unknown". It puts the step at the next entry,
    # which knows nothing but what the trainer says it holds, and begins the others anew.
    Given a samples deployment
    When the samples of trainer near have come to <stage>
    And the samples meet <faults>
    Then the samples arrive once, fresh and true, with <vain> tokens made in vain at most

    Examples:
      | stage          | faults                                                                | vain         |
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
    # The entry sees the link end, keeps what was streamed, and resumes the samples elsewhere. The
    # trainer sees nothing but a later answer. A sidecar that stops ends what it runs.
    Given a samples deployment
    When the samples of trainer near have come to <stage>
    And the samples meet <faults>
    Then the samples arrive once, fresh and true, with <vain> tokens made in vain at most

    Examples:
      | stage          | faults                                                                | vain |
      | dispatched     | designs-a killed, designs-a restarted, released                       | 128  |
      | streaming      | designs-a killed, designs-b killed, designs-a restarted, designs-b restarted, released | 128  |
      | swapped        | designs-a killed, released, designs-a restarted                       | 128  |
      | partly held    | designs-b killed, designs-b restarted, released                       | 128  |
      | streaming      | designs-a frozen, peers 1, released, designs-a thawed                 | 128  |
      | streaming      | designs-a told-to-stop, released, designs-a ended                     | 0    |
      | answered again | designs-a killed, designs-b killed, released, designs-a restarted, designs-b restarted | 256  |

  Scenario Outline: An engine fails
    # Streams break off, and what was streamed is resumed on whichever engine is in rotation. An
    # engine that starts anew has its first weights until its sidecar loads the version in force.
    Given a samples deployment
    When the samples of trainer near have come to <stage>
    And the samples meet <faults>
    Then the samples arrive once, fresh and true, with <vain> tokens made in vain at most

    Examples:
      | stage       | faults                                                                     | vain |
      | put         | designs-a-engine cuts-streams, designs-b-engine cuts-streams, released     | 0    |
      | streaming   | designs-a-engine killed, released, designs-a-engine restarted              | 0    |
      | swapped     | designs-a-engine killed, designs-a-engine restarted, released              | 0    |
      | dispatched  | designs-a-engine frozen, released, held 8, designs-a-engine thawed, released | 0    |
      | partly held | designs-b-engine killed, designs-a killed, released, designs-a restarted, designs-b-engine restarted | 0    |

  Scenario Outline: A connection fails
    # An answer that is lost, cut or damaged counts for nothing: the trainer does not name its samples
    # as held, and they are sent again. A trainer that gives up on an entry moves to the other one.
    Given a samples deployment
    When the samples of trainer near have come to <stage>
    And the samples meet <faults>
    Then the samples arrive once, fresh and true, with <vain> tokens made in vain at most

    Examples:
      | stage          | faults                                                                | vain   |
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
    # The way of a sample needs no append: a log that is down or slow delays nothing. What is replaced
    # meanwhile learns the contracts from its peers. Without the weight store engines keep their weights.
    Given a samples deployment where <before>
    When the samples of trainer near have come to <stage>
    And the samples meet <faults>
    Then the samples arrive once, fresh and true, with <vain> tokens made in vain at most

    Examples:
      | before        | stage       | faults                                                       | vain   |
      | log refuses   | streaming   | released                                                     | 0      |
      | log hangs     | partly held | designs-b killed, designs-b restarted, released              | 128    |
      | log slow      | swapped     | entry-a killed, released                                     | unheld |
      | log refuses   | partly held | entry-b killed, entry-b restarted, linked, designs-a killed, designs-a restarted, linked, designs-b killed, designs-b restarted, linked, entry-a killed, entry-a restarted, linked, released | unheld |
      | weights hangs | streaming   | announced 2, designs-a-engine killed, designs-a-engine restarted, released | 0      |

  Scenario Outline: Two entries collect the same step
    # The trainer moves to the other entry, gets samples there, and comes back to the first, which has
    # gone on and has the same numbers ready. Each answer leaves out what that very pull says is held.
    Given a samples deployment
    When the samples of trainer near have come to <stage>
    And the samples meet <faults>
    Then the samples arrive once, fresh and true, with <vain> tokens made in vain at most

    Examples:
      | stage       | faults                                                                         | vain   |
      | finished    | trainer-entry-a cut, trainer-at entry-b, held 4, trainer-entry-a healed, trainer-entry-b cut, released | unheld |
      | partly held | trainer-entry-a cut, trainer-at entry-b, released, held 12, trainer-entry-a healed, trainer-entry-b cut | unheld |

  Scenario Outline: The trainer's version rises in the middle of a step
    # All 16 samples wait at the entry when the trainer takes four and raises its version. Those that
    # are now older than its bound are made again, and none of the others.
    Given a samples deployment
    When trainer <trainer>, started with --raises <raises>, has its samples come to finished
    And the samples meet released
    Then trainer process trainer has every sample of 1 steps once, fresh and true
    And <made> whole samples were made in all

    Examples:
      | trainer | raises | made |
      | fresh   | 1      | 28   |
      | near    | 1      | 16   |
      | near    | 2      | 28   |
      | far     | 2      | 16   |
      | far     | 3      | 28   |

  Scenario Outline: The version rises under a fault
    # The trainer takes four samples and raises its version; what streams and what waits becomes too
    # old while its entry or an engine fails. Nothing too old is delivered by whoever goes on.
    Given a samples deployment
    When trainer <trainer>, started with --raises <raises>, has its samples come to <stage>
    And the samples meet <faults>
    Then trainer process trainer has every sample of 1 steps once, fresh and true

    Examples:
      | trainer | raises | stage    | faults                                                              |
      | near    | 1      | swapped  | released                                                            |
      | fresh   | 1      | answered | entry-a killed, released                                            |
      | fresh   | 2      | finished | designs-a-engine killed, designs-a-engine restarted, released       |
      | near    | 2      | finished | trainer-entry-a cuts-an-answer, released, designs-b killed, designs-b restarted |

  Scenario Outline: Weights change in mid-stream, with either objective
    # Each stream has a quarter of its tokens when its engine changes weights. For a trainer that weighs
    # staleness more, these are given up and the sample is made anew; else the sample has both versions.
    Given a samples deployment
    When the samples of trainer <trainer> have come to swapped
    And the samples meet released
    Then the samples arrive once, fresh and true, with <vain> tokens made in vain at most
    And the oldest of the samples was <staleness> versions old

    Examples:
      | trainer | staleness | vain |
      | current | 0         | 256  |
      | near    | 1         | 0    |

  Scenario Outline: The trainer starts anew
    # Its new run has a higher incarnation and what its checkpoint holds. The step is made for it but
    # for what it has; or it takes an older step again, which its earlier run had left behind.
    Given a samples deployment
    When trainer near, started with --first-step 5, has its samples come to partly held
    And the samples meet <faults>
    And the trainer of the samples is killed and started anew with --incarnation 2 <flags>
    And the samples meet <after>
    Then <result>

    Examples:
      | faults         | flags                                          | after    | result                                                                       |
      | peers 2        | --first-step 5 --held {held}                   | released | the restarted trainer has the rest of its samples once, fresh and true       |
      | entry-a killed | --first-step 5 --held {held} --states-held     | released | the restarted trainer has the rest of its samples once, fresh and true       |
      | log refuses    | --first-step 4 --steps 2                       | released | trainer process trainer has every sample of 2 steps once, fresh and true     |

  Scenario Outline: Two runs of a trainer at the same time
    # The older run never noticed its replacement. It is told so once the newer has been heard, and ends;
    # while the log is down, another entry does not know yet. Neither gets anything twice.
    Given a samples deployment
    When the samples of trainer near have come to partly held
    And the samples meet <faults>
    And a second trainer near of the samples starts at <entry>
    And the samples meet second-put <entry>, <after>
    Then trainer process second has every sample of 1 steps once, fresh and true
    And <first>

    Examples:
      | faults      | entry   | after    | first                                                                        |
      | peers 2     | entry-a | exited trainer, released | the trainer process trainer of the samples ends as superseded, with nothing twice |
      | peers 2     | entry-b | exited trainer, released | the trainer process trainer of the samples ends as superseded, with nothing twice |
      | log refuses | entry-b | released | trainer process trainer has every sample of 1 steps once, fresh and true     |

  Scenario: A step is registered again with other groups
    # A second process under the same name sends other prompts for the step. It is refused, and the
    # samples of the first registration arrive as if nothing had been sent.
    Given a samples deployment
    When the samples of trainer near have come to partly held
    Then a registration of the samples' step with other groups at entry-a is a conflict
    When the samples meet released
    Then the samples arrive once, fresh and true, with 0 tokens made in vain at most
