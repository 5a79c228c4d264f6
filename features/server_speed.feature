Feature: What a few events tell about the speed of a server
  Simulated time. Two servers that another text has shown, or not, take about 100 ms for an event. A text of about 100 events has begun at one of them.

  Scenario Outline: A text is moved only if the events that were seen show that it ends sooner
    # Guards against texts that leave their server after two events that were a few percent late: the
    # other server reads them again, and on a route of one weight version they may lose their version.
    Given another server that was seen with <elsewhere>
    When the text has begun at its server with <here>
    Then it <stays>

    Examples:
      | elsewhere            | here                | stays |
      | 8 events of 100 ms   | 2 events of 106 ms  | stays |
      | 8 events of 98 ms    | 2 events of 106 ms  | stays |
      | 8 events of 94 ms    | 2 events of 100 ms  | stays |
      | 200 events of 100 ms | 2 events of 110 ms  | stays |
      | 2 events of 92 ms    | 20 events of 100 ms | stays |
      | 8 events of 100 ms   | 2 events of 200 ms  | moves |
      | 200 events of 100 ms | 10 events of 130 ms | moves |
      | 200 events of 100 ms | 4 events of 300 ms  | moves |
      | 20 events of 90 ms   | 20 events of 120 ms | moves |
