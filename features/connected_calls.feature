Feature: Calls prefer servers to which an idle connection is open
  Time is simulated: 39 entries call 12 plain servers of 6 slots and 24 places in the queue, through the router that is deployed.
  Four entries also send scorings of 211 ms in steps of 4 s. Calls take 26 ms and come to all entries at random. A server
  closes connections that are idle for 5 s, and opening one takes a round trip of 2.8 ms. One server takes 4 times as long
  for 8 s. The same calls are played with and without the preference.

  Scenario Outline: Fewer connections are opened, and no call waits longer
    # Each entry spreads few calls over six preferred servers, so connections expire between two calls. An
    # entry that kept to a server only because it is connected would keep to a slow or a full one.
    Given calls that come <rate> times a second
    When they are played for 20 s with and without the preference
    Then it opens at most <percent> percent of the connections
    And the mean latency, the latency of 99 percent and the calls over 155 ms are no worse

    Examples:
      | traffic | rate | percent |
      | low     | 15   | 40      |
      | usual   | 50   | 25      |
      | triple  | 150  | 40      |

  Scenario Outline: The preference only decides between servers that are equal otherwise
    # Guards against a call that goes to a loaded, slow or recovering server for its open connection. A server
    # is described by the entry's calls there, the average latency in ms, and whether it is connected.
    Given a router with the servers <servers>
    When 200 requests are routed in turn, each without being started
    Then they go to <chosen>

    Examples:
      | servers                            | chosen |
      | a:0:20:yes b:0:20:no c:0:20:no     | a      |
      | a:0:20:yes b:0:20:yes c:0:20:no    | a b    |
      | a:0:20:no b:0:20:no                | a b    |
      | a:1:20:yes b:0:20:no c:0:20:no     | b c    |
      | a:0:40:yes b:0:20:no c:0:20:no     | a b c  |
      | a:0:28:yes b:0:20:no c:0:20:no     | a      |
