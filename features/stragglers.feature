Feature: Texts at engines that turn slow, at any speed of the engines
  Engines make a piece of 64 tokens each few milliseconds; times below are given in pieces of a usual
  engine. A text is moved to another engine with what was made of it.

  Scenario Outline: A long text leaves an engine that turns slow while its step can still be in time
    # The step waits for one long text. Its engine becomes three times slower for seconds; the text
    # stays there, the step is late, and the trainer falls behind for the rest of the day. It may
    # lose half of its own time, 50 pieces' worth, and all of it where that is little over a second.
    Given engines that make a piece in <gap> ms, and 20 texts of 10 pieces that waited <wait> ms
    And a text of 100 pieces whose engine turns <slower> times slower after 30 pieces
    Then the text is moved before it has made <pieces> pieces

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

  Scenario Outline: What another engine would do no better stays where it is
    # Each move has its text read again elsewhere and costs a connection. Texts that are moved for a
    # short pause, or that wait no longer than all others, come no sooner for it.
    Given engines that make a piece in <gap> ms, and 20 texts of 10 pieces that waited <wait> ms
    And a text of 100 pieces <what>
    Then the text is not moved

    Examples:
      | gap | wait | what                                                       |
      | 12  | 0    | whose engine stands still for 300 ms after 30 pieces       |
      | 37  | 0    | whose engine stands still for 900 ms after 30 pieces       |
      | 75  | 800  | whose engine stands still for 900 ms after 30 pieces       |
      | 37  | 0    | whose engine turns 1.5 times slower after 30 pieces        |
      | 75  | 800  | whose engine turns 1.5 times slower after 30 pieces        |
      | 37  | 1200 | that waits for 1500 ms                                     |
      | 75  | 2000 | that waits for 3000 ms                                     |

  Scenario Outline: A long text moves to a faster engine that has a place, if it ends sooner there
    # Guards against steps that wait for one long text on a slow engine while faster ones are idle.
    Given engines that make a piece in <gap> ms, and 20 texts of 10 pieces that waited 0 ms
    And a text of 160 pieces at an engine that is <here> times slower
    And an engine with a place that is <there> times slower than the usual one
    Then the text is moved before it has made <pieces> pieces

    Examples:
      | gap | here | there | pieces |
      | 37  | 1.3  | 1     | 80     |
      | 37  | 1.6  | 1     | 80     |
      | 75  | 1.3  | 1     | 80     |
      | 75  | 1.3  | 0.8   | 80     |

  Scenario Outline: A text stays where a faster engine would gain it little
    # Guards against texts that are read again and again for nothing.
    Given engines that make a piece in <gap> ms, and 20 texts of 10 pieces that waited 0 ms
    And a text of <count> pieces at an engine that is <here> times slower
    And an engine with a place that is <there> times slower than the usual one
    Then the text is not moved

    Examples:
      | gap | count | here | there |
      | 37  | 30    | 1.3  | 1     |
      | 37  | 160   | 1    | 1     |
      | 37  | 160   | 1.3  | 1.3   |
      | 37  | 160   | 1    | 1.3   |
      | 12  | 60    | 1.3  | 1     |
