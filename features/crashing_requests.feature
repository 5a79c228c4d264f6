Feature: A request that ends the servers that run it
  Three programs on the platform's stand-in, and servers that end when they run a fatal request.

  Scenario Outline: A request that ends its servers is soon kept from them
    # Guards against one request that ends every server there is, each time that it comes.
    Given three programs and 4 services that end when they run a fatal request
    When the fatal <kind> request comes at all programs in turn for 8 seconds, with new ids
    Then at most 3 servers run it later than 3 seconds after it ended the third
    And a sound <kind> request is answered 200

    Examples:
      | kind     |
      | calls    |
      | charges  |

  Scenario Outline: An item that ends its servers is soon kept from them
    # Guards against one item that ends every server, again and again, while its batch is open.
    Given three programs and 4 <servers> that end when they run a fatal request
    When a batch of 12 items is submitted of which one has a fatal <part>
    Then within 10 seconds the other 11 items are completed
    And for 6 seconds at most 3 servers run it later than 3 seconds after it ended the third
    And the other 11 items are listed, and the fatal one is not while its batch is open

    Examples:
      | servers  | part    |
      | engines  | prompt  |
      | services | scoring |
