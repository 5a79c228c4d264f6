Feature: A stopping HTTP server answers the requests that it has read
  The server has one thread and takes 100 ms for a request. Clients use keep-alive connections.

  Scenario Outline: Only connections without a request in progress are closed
    # Guards against a closed connection whose request was read just as the process checked what is in
    # progress, or was waiting for the one thread: its client can't know whether it ran. Clients use
    # kept connections until the process has ended.
    Given a draining server with 3 kept connections
    When <sends> of the clients send a request and the server is told to close idle ones
    Then <sends> whole answers arrive that close their connections
    And all connections are closed within 2 s

    Examples:
      | sends |
      | 0     |
      | 1     |
      | 3     |

  Scenario: A partly received request is waited for and answered
    Given a draining server with 1 kept connections
    When a client sends half a request, the server closes what is idle, and the rest follows
    Then 1 whole answers arrive that close their connections

  Scenario: A stop closes no socket that the serving thread is about to wait on
    # Guards against a serving thread that fails on a closed socket when its process stops.
    Given a draining server with 0 kept connections
    When it is stopped right before its thread waits for its sockets
    Then its thread ends without an error within 5 s

  Scenario: A request that arrived but was not read yet is answered
    # Guards against a reset connection whose request had arrived when a busy process closed idle ones.
    Given a draining server with 1 kept connections
    When a client's request arrives just before the server's thread closes idle connections
    Then 1 whole answers arrive that close their connections

  Scenario: An answer to HEAD has no body
    # Guards against bytes that are read as the answer to the next request of the connection.
    Given a draining server with 1 kept connections
    When a client asks for the head of an answer only
    Then nothing arrives after the head
