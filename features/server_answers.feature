Feature: What an answer of a backend server proves
  The server reads a request on a kept connection and then does what a row says.

  Scenario Outline: A refusal of a second send does not show that the first did not run
    # Guards against "not run" for a request that a server may have run, and against "refused" for an
    # order that it carries out: the connection is reset after the request was read, and the same
    # request on a new connection is refused.
    Given a backend server that breaks off, then <status> with the headers <headers>
    When an entry sends it <request> on a kept connection
    Then after <sends> sends the request <outcome>

    Examples:
      | request    | status | headers | sends | outcome     |
      | a call     | 503    | not-run | 2     | may have run |
      | a call     | 421    | none    | 2     | may have run |
      | an item    | 503    | not-run | 2     | may have run |
      | an item    | 421    | none    | 2     | may have run |
      | an order   | 409    | none    | 2     | may have run |
      | an order   | 503    | none    | 2     | may have run |
      | an order   | 200    | none    | 2     | ran         |

  Scenario Outline: A refusal of the only send shows that the request did not run
    Given a backend server that answers <status> with the headers <headers>
    When an entry sends it <request> on a kept connection
    Then after 1 sends the request <outcome>

    Examples:
      | request    | status | headers | outcome     |
      | a call     | 503    | not-run | did not run |
      | a call     | 421    | named   | did not run |
      | an item    | 503    | not-run | did not run |
      | an order   | 409    | none    | did not run |

  Scenario Outline: An answer to another request is not taken as the answer to this one
    # Guards against an item that runs at two engines: a refusal is sent twice, the copy is read in
    # place of the next answer on the connection, and the item that it refuses is sent elsewhere. The
    # connection is closed, as the answer that is still due on it would reach a third request.
    Given a backend server that answers <status> with the headers <headers>
    When an entry sends it <request> on a kept connection
    Then after 1 sends the request <outcome>
    And the connection is <left>

    Examples:
      | request  | status | headers        | outcome      | left   |
      | a call   | 503    | another, not-run | may have run | closed |
      | a call   | 421    | another        | may have run | closed |
      | a call   | 200    | another        | may have run | closed |
      | a call   | 500    | none           | may have run | closed |
      | a call   | 421    | none           | may have run | closed |
      | an item  | 503    | another, not-run | may have run | closed |
      | an item  | 421    | another        | may have run | closed |
      | an item  | 200    | another        | may have run | closed |
      | an order | 503    | another, not-run | may have run | closed |
      | an order | 200    | another        | may have run | closed |
      | a report | 200    | another        | may have run | closed |
      | an order | 503    | unknown        | did not run  | kept   |
      | a call   | 503    | not-run        | did not run  | kept   |

  Scenario Outline: A success counts only with the server's stamp and an unencoded body
    # Guards against a success that the server did not give, or whose body is not the server's own.
    Given a backend server that answers 200 with the headers <headers>
    When an entry sends it <request> on a kept connection
    Then after 1 sends the request <outcome>

    Examples:
      | request | headers              | outcome      |
      | a call  | named                | may have run |
      | a call  | named, empty stamp   | may have run |
      | a call  | stamped, encoded     | may have run |
      | a call  | stamped              | ran          |
      | an item | named                | may have run |
      | an item | stamped, encoded     | may have run |

  Scenario Outline: A late second answer is not taken as that of a later request
    # Guards against the outcome of an earlier request, or of an earlier send of the same one, as that
    # of a request whose answer is still to come.
    Given a backend server that answers <first>, then a success, and repeats each answer late
    When an entry sends it <one>, then <another>
    Then the last of them got <answer>

    Examples:
      | first                    | one      | another         | answer  |
      | 500                      | a call   | the same call   | its own |
      | 503 not run              | a call   | the same call   | its own |
      | 503 not run without id   | a call   | another call    | none    |
      | 500                      | an item  | the same item   | its own |
      | 503 not run without id   | a call   | an order        | none    |
      | 409                      | an order | an order        | its own |
      | a report                 | a report | an order        | none    |

  Scenario: A late second report is read once at most
    # Guards against a connection on which each report is that of the read before.
    Given a backend server that answers a report, then a success, and repeats each answer late
    When an entry sends it a report, then a report
    And it sends a report once more
    Then the last of them got its own


  Scenario Outline: A refusal without an id counts on a connection that carried no other request
    Given a backend server that answers <status> with the headers <headers>
    When an entry sends it a call on a new connection
    Then after 1 sends the request did not run

    Examples:
      | status | headers    |
      | 421    | none       |
      | 503    | nameless   |
