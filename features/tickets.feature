Feature: Tickets, keys that name the sidecar incarnation that may start them

  Scenario Outline: Only an unchanged ticket of the same operation and customer is accepted
    # Guards against a caller that forges a ticket with another address, or uses the ticket of
    # another operation: the entry would connect to an address of the caller's choice.
    Given a ticket for operation "booking" of "catania" at "127.0.0.1:4711"
    When the ticket is read for <operation> of <customer> after <change>
    Then the ticket read is <result>

    Examples:
      | operation | customer | change            | result            |
      | booking   | catania  | no change         | as issued         |
      | shipment  | catania  | no change         | ticket-unreadable |
      | booking   | caroni   | no change         | ticket-unreadable |
      | booking   | catania  | another address   | ticket-unreadable |
      | booking   | catania  | another epoch     | ticket-unreadable |
      | booking   | catania  | a cut end         | ticket-unreadable |
      | booking   | catania  | another token     | ticket-unreadable |
      | booking   | catania  | its whole removal | a caller's key    |
