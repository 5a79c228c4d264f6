Feature: Keys that name the sidecar run that may start them

  Scenario Outline: A ticket is read only where it was issued
    # A caller changes a ticket to name another host, or uses one of another operation. The entry
    # would connect to an address of the caller's choice, so it reads only what was issued.
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
