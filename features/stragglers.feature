Feature: Stragglers on engines that become slow, at any speed of the engines
  Engines generate a piece of 64 tokens every few milliseconds. Bounds are given in pieces of a normal
  engine. A text is moved to another engine together with its pieces so far.

  Scenario Outline: A long text is moved off an engine that becomes slow
    # Guards against a step that waits for one long text whose engine becomes three times slower: the
    # step is late and the trainer falls behind for the rest of the day. Before the move the text may be
    # delayed by half of its normal time (50 pieces), or by all of it if that is little over a second.
    Given engines that generate a piece in <gap> ms, and 20 texts of 10 pieces that waited <wait> ms
    And a text of 100 pieces whose engine becomes <slower> times slower after 30 pieces
    Then the text is moved before it has <pieces> pieces

    Examples:
      | gap | wait | slower | pieces |
      | 12  | 0    | 3      | 99     |
      | 37  | 0    | 3      | 55     |
      | 37  | 400  | 3      | 55     |
      | 75  | 0    | 3      | 55     |
      | 75  | 800  | 3      | 55     |
      | 110 | 1200 | 3      | 55     |
      | 75  | 800  | 10     | 55     |
      | 225 | 2000 | 3      | 55     |

  Scenario Outline: A text that another engine would not finish sooner is not moved
    # Guards against useless moves, each of which costs a connection and makes another engine process
    # the text again: after a short pause, or for a text that waits no longer than all others.
    Given engines that generate a piece in <gap> ms, and 20 texts of 10 pieces that waited <wait> ms
    And a text of 100 pieces <what>
    Then the text is not moved

    Examples:
      | gap | wait | what                                                       |
      | 12  | 0    | whose engine stalls for 300 ms after 30 pieces       |
      | 37  | 0    | whose engine stalls for 900 ms after 30 pieces       |
      | 75  | 800  | whose engine stalls for 900 ms after 30 pieces       |
      | 37  | 0    | whose engine becomes 1.5 times slower after 30 pieces        |
      | 75  | 800  | whose engine becomes 1.5 times slower after 30 pieces        |
      | 37  | 1200 | that waits for 1500 ms                                     |
      | 75  | 2000 | that waits for 3000 ms                                     |

  Scenario Outline: A long text is moved to a faster engine with a free slot if it ends sooner there
    # Guards against steps that wait for one long text on a slow engine while faster ones are idle.
    Given engines that generate a piece in <gap> ms, and 20 texts of 10 pieces that waited 0 ms
    And a text of 160 pieces at an engine that is <here> times slower
    And an engine with a free slot that is <there> times slower than the normal one
    Then the text is moved before it has <pieces> pieces

    Examples:
      | gap | here | there | pieces |
      | 37  | 1.3  | 1     | 80     |
      | 37  | 1.6  | 1     | 80     |
      | 75  | 1.3  | 1     | 80     |
      | 75  | 1.3  | 0.8   | 80     |

  Scenario Outline: A text is not moved if a faster engine would save little time
    # Guards against repeated moves, each of which makes an engine process the text again.
    Given engines that generate a piece in <gap> ms, and 20 texts of 10 pieces that waited 0 ms
    And a text of <count> pieces at an engine that is <here> times slower
    And an engine with a free slot that is <there> times slower than the normal one
    Then the text is not moved

    Examples:
      | gap | count | here | there |
      | 37  | 30    | 1.3  | 1     |
      | 37  | 160   | 1    | 1     |
      | 37  | 160   | 1.3  | 1.3   |
      | 37  | 160   | 1    | 1.3   |
      | 12  | 60    | 1.3  | 1     |

  Scenario Outline: A text of one weight version is moved only to an engine with this version
    # Guards against results with several versions where the route allows only one, and against a move
    # that loses the text so far.
    Given engines that generate a piece in 37 ms, and 20 texts of 10 pieces that waited 0 ms
    And texts of one weight version, which is 1
    And a text of 160 pieces at an engine that is 1.6 times slower
    And an engine with a free slot and version <version> that is 1 times slower than the normal one
    Then the text <moves>

    Examples:
      | version | moves                             |
      | 1       | is moved before it has 80 pieces  |
      | 2       | is not moved                      |
