Feature: A caller receives the whole answer to its own request

  Scenario Outline: Two callers' streams share one link, and neither gets a piece of the other's
    # Both generations run at the only engine, and their pieces come interleaved over one link that
    # holds them for a moment. Each caller sees its own text, whole and in order, since a piece
    # names the request it belongs to.
    Given a deployment for streams with the engines a
    When the streams of one caller and another caller are midway and <fault>
    Then each stream is its caller's own whole text, made by 1 engines

    Examples:
      | fault                               |
      | nothing happens                     |
      | its link holds answers for a moment |

  Scenario Outline: A stream that breaks off goes on at another engine, with no gap and no repeat
    # Midway the link, the sidecar or the engine fails. The entry goes on elsewhere from what it has
    # passed on, and ignores what comes late from the first place. The caller sees the same text as
    # if nothing had happened; the label names the weights of both engines.
    Given a deployment for streams with the engines <engines>
    When the streams of one caller are midway and <fault>
    Then each stream is its caller's own whole text, made by <count> engines

    Examples:
      | engines | fault                                           | count |
      | a b     | its link holds answers for a moment             | 1     |
      | a b     | its link falls silent and its answers come late | 2     |
      | a b     | its link breaks                                 | 2     |
      | a b     | its sidecar dies                                | 2     |
      | a b     | its sidecar is paused                           | 2     |
      | a b     | its engine dies                                 | 2     |
      | a b c   | its engine dies, and so does the next sidecar   | 3     |

  Scenario Outline: An answer in one piece is whole too
    # The entry gathers the pieces; the caller sees nothing of the engine that failed midway.
    Given a deployment for streams with the engines a b
    When an answer in one piece to one caller is midway and <fault>
    Then each stream is its caller's own whole text, made by 2 engines

    Examples:
      | fault            |
      | its engine dies  |
      | its sidecar dies |

  Scenario: An engine cuts a stream after its first line
    # The engine ends its answer in order but without its last line. The sidecar must not take that
    # for the end of the text; the entry goes on at the other engine.
    Given a deployment for streams with the engines a b
    When a stream of one caller has ended, and the same engine cuts the next one short
    Then each stream is its caller's own whole text, made by 2 engines

  Scenario: The entry dies midway
    # Nobody can go on for the caller. The stream ends without its last line, so the caller can
    # tell that the answer is not whole.
    Given a deployment for streams with the engines a b
    When the streams of one caller are midway and the entry dies
    Then the stream has no last line, and what came is the beginning of its text
