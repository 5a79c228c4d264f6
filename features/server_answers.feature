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
      | a call     | 421    | none    | did not run |
      | an item    | 503    | not-run | did not run |
      | an order   | 409    | none    | did not run |
