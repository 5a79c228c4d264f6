Feature: Answers of servers that are cut, are not their own, or come twice
  The front program runs as a process, with two servers of each service. Sound answers have the server's stamp.

  Scenario Outline: An answer that ends early is never passed on as a whole one
    # Guards against a success without the server's stamp, or with an empty or a short body.
    Given a front program with two servers, whose first answer to <request> ends after <end>
    When the front program is asked for <request>
    Then it gets <outcome>, and the servers got it <sends>

    Examples: a request that may be repeated
      | request                      | end                                  | outcome          | sends |
      | a call that may be repeated  | its status line                      | the whole answer | twice |
      | a call that may be repeated  | the header that names its request    | the whole answer | twice |
      | a call that may be repeated  | half of its stamp header             | the whole answer | twice |
      | a call that may be repeated  | its stamp header                     | the whole answer | twice |
      | a call that may be repeated  | its last header                      | the whole answer | twice |
      | a call that may be repeated  | its head                             | the whole answer | twice |
      | a call that may be repeated  | half of the size of its second chunk | the whole answer | twice |
      | a call that may be repeated  | half of the size of its last chunk   | the whole answer | twice |
      | a stream that may be resumed | its status line                      | the whole answer | twice |
      | a stream that may be resumed | the header that names its request    | the whole answer | twice |
      | a stream that may be resumed | half of its stamp header             | the whole answer | twice |
      | a stream that may be resumed | its stamp header                     | the whole answer | twice |
      | a stream that may be resumed | its last header                      | the whole answer | twice |
      | a stream that may be resumed | its head                             | the whole answer | twice |
      | a stream that may be resumed | half of the size of its second chunk | the whole answer | twice |
      | a stream that may be resumed | half of the size of its last chunk   | the whole answer | twice |

    Examples: a request that may run once
      | request                | end                                  | outcome   | sends |
      | a call that may run once | its status line                      | no answer | once  |
      | a call that may run once | the header that names its request    | no answer | once  |
      | a call that may run once | half of its stamp header             | no answer | once  |
      | a call that may run once | its stamp header                     | no answer | once  |
      | a call that may run once | its last header                      | no answer | once  |
      | a call that may run once | its head                             | no answer | once  |
      | a call that may run once | half of the size of its second chunk | no answer | once  |
      | a call that may run once | half of the size of its last chunk   | no answer | once  |
      | a stream               | its status line                      | no answer | once  |
      | a stream               | the header that names its request    | no answer | once  |
      | a stream               | half of its stamp header             | no answer | once  |
      | a stream               | its stamp header                     | no answer | once  |
      | a stream               | its last header                      | no answer | once  |
      | a stream               | its head                             | no answer | once  |
      | a stream               | half of the size of its second chunk | no answer | once  |
      | a stream               | half of the size of its last chunk   | no answer | once  |

    Examples: a request of a batch
      | request            | end                                  | outcome                  | sends |
      | an item            | its status line                      | the whole text and score | twice |
      | an item            | the header that names its request    | the whole text and score | twice |
      | an item            | half of its stamp header             | the whole text and score | twice |
      | an item            | its stamp header                     | the whole text and score | twice |
      | an item            | its last header                      | the whole text and score | twice |
      | an item            | its head                             | the whole text and score | twice |
      | an item            | half of the size of its second chunk | the whole text and score | twice |
      | an item            | half of the size of its last chunk   | the whole text and score | twice |
      | an item's score    | its status line                      | the whole text and score | twice |
      | an item's score    | the header that names its request    | the whole text and score | twice |
      | an item's score    | half of its stamp header             | the whole text and score | twice |
      | an item's score    | its stamp header                     | the whole text and score | twice |
      | an item's score    | its last header                      | the whole text and score | twice |
      | an item's score    | its head                             | the whole text and score | twice |
      | an item's score    | half of the size of its second chunk | the whole text and score | twice |
      | an item's score    | half of the size of its last chunk   | the whole text and score | twice |

  Scenario Outline: A success that has no stamp, or an encoded body, is not taken for the server's
    # Guards against bytes from elsewhere that clients and trainers take for the server's answer.
    Given a front program with two servers, whose first answer to <request> <fault>
    When the front program is asked for <request>
    Then it gets <outcome>, and the servers got it <sends>

    Examples:
      | request                      | fault        | outcome                  | sends |
      | a call that may be repeated  | has no stamp | the whole answer         | twice |
      | a call that may be repeated  | is encoded   | the whole answer         | twice |
      | a call that may run once     | has no stamp | no answer                | once  |
      | a call that may run once     | is encoded   | no answer                | once  |
      | a stream that may be resumed | has no stamp | the whole answer         | twice |
      | a stream that may be resumed | is encoded   | the whole answer         | twice |
      | a stream                     | has no stamp | no answer                | once  |
      | a stream                     | is encoded   | no answer                | once  |
      | an item                      | has no stamp | the whole text and score | twice |
      | an item                      | is encoded   | the whole text and score | twice |
      | an item's score              | has no stamp | the whole text and score | twice |
      | an item's score              | is encoded   | the whole text and score | twice |

  Scenario Outline: An answer that comes again after the next request was sent is not taken for its answer
    # Guards against an item that is given up after one failure, a request that runs at two servers, and
    # "not run" for one that ran: the first answer is repeated on its connection, with the id of both.
    Given a front program with <count>, whose first answer to <request> comes again, <answer>
    When the front program is asked for <request>
    And the program is asked for another
    Then each client gets its own answer or none, and nothing ran twice at once

    Examples:
      | count                        | request                     | answer                  |
      | one server                   | a call that may be repeated | a failure               |
      | one server                   | a call that may be repeated | a refusal               |
      | one server                   | a call that may be repeated | a refusal without an id |
      | one server, then two servers | an item                     | a failure               |
      | one server, then two servers | an item                     | a refusal               |
      | one server, then two servers | an item                     | a refusal without an id |
      | one server                   | an item's score             | a failure               |
      | one server                   | an item's score             | a refusal               |
      | one server                   | an item's score             | a refusal without an id |
