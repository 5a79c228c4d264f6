Feature: Quarantine of requests that crash servers, in a whole deployment
  Three front programs use a stand-in for the platform and servers that crash when they run a fatal request.

  Scenario Outline: A request that crashes servers is soon quarantined
    # Guards against one request that crashes every server each time it is sent.
    Given three programs and 4 services that end when they run a fatal request
    When the fatal <kind> request is sent to all programs in turn for 8 seconds, with new ids
    Then at most 3 servers run it later than 3 seconds after it ended the third
    And a sound <kind> request is answered 200

    Examples:
      | kind     |
      | calls    |
      | charges  |

  Scenario Outline: A batch item that crashes servers is soon quarantined
    # Guards against one item that crashes every server repeatedly while its batch is open.
    Given three programs and 4 <servers> that end when they run a fatal request
    When a batch of 12 items is submitted of which one has a fatal <part>
    Then within 10 seconds the other 11 items are completed
    And for 6 seconds at most 3 servers run it later than 3 seconds after it ended the third
    And the other 11 items are listed, and the fatal one is not while its batch is open

    Examples:
      | servers  | part    |
      | engines  | prompt  |
      | services | scoring |
