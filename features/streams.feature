Feature: A caller receives the complete answer to its own request

  Scenario Outline: Two callers' streams share one link without mixing
    # Both generations run at the only engine, and their chunks arrive interleaved over one link,
    # which may hold them for a moment. Each chunk names its request, so each caller gets its own
    # text, complete and in order.
    Given a deployment for streams with the engines a
    When the streams of one caller and another caller are midway and <fault>
    Then each caller has its own complete text, made by 1 engines

    Examples:
      | fault                               |
      | nothing happens                     |
      | its link holds answers for a moment |

  Scenario Outline: A broken stream is resumed at another engine without gaps or repetitions
    # The link, the sidecar or the engine fails midway. The entry resumes the generation elsewhere
    # after the text that it has already forwarded, and ignores late chunks of the first attempt. The
    # caller gets the same text as without a fault; the label names the weights of all engines used.
    Given a deployment for streams with the engines <engines>
    When the streams of one caller are midway and <fault>
    Then each caller has its own complete text, made by <count> engines

    Examples:
      | engines | fault                                           | count |
      | a b     | its link holds answers for a moment             | 1     |
      | a b     | its link falls silent and its answers come late | 2     |
      | a b     | its link breaks                                 | 2     |
      | a b     | its sidecar dies                                | 2     |
      | a b     | its sidecar is paused                           | 2     |
      | a b     | its engine dies                                 | 2     |
      | a b c   | its engine dies, and so does the next sidecar   | 3     |

  Scenario Outline: An answer without streaming is complete too
    # The entry collects the chunks, so the caller does not notice that an engine failed midway.
    Given a deployment for streams with the engines a b
    When an answer in one piece to one caller is midway and <fault>
    Then each caller has its own complete text, made by 2 engines

    Examples:
      | fault            |
      | its engine dies  |
      | its sidecar dies |

  Scenario: An engine cuts a stream after its first line
    # The engine closes its response properly but without the last line. The sidecar must not treat
    # that as the end of the text; the entry resumes the generation at the other engine.
    Given a deployment for streams with the engines a b
    When a stream of one caller has ended, and the same engine cuts the next one short
    Then each caller has its own complete text, made by 2 engines

  Scenario: The entry dies midway
    # Nothing can resume the caller's stream. It ends without its last line, so the caller can tell
    # that the answer is incomplete.
    Given a deployment for streams with the engines a b
    When the streams of one caller are midway and the entry dies
    Then the stream has no last line, and its text is a prefix of the complete one
