Feature: A stopping HTTP server answers what it has read
  The server has one thread and takes 100 ms for a request. Clients keep their connections.

  Scenario Outline: Connections are closed only where nothing is under way
    # Clients go on using kept connections until the process is gone. A request that was read just
    # as the process looked for what is in progress, or that waits for the one thread, would be
    # cut, and its client can't know whether it ran.
    Given a draining server with 3 kept connections
    When <sends> of the clients send a request and the server is told to close idle ones
    Then <sends> whole answers arrive that close their connections
    And all connections are closed within 2 s

    Examples:
      | sends |
      | 0     |
      | 1     |
      | 3     |

  Scenario: A request that has come in part is waited for
    Given a draining server with 1 kept connections
    When a client sends half a request, the server closes what is idle, and the rest follows
    Then 1 whole answers arrive that close their connections

  Scenario: A stop takes no socket from under the thread that serves
    # Guards against a serving thread that fails on a closed socket when its process stops.
    Given a draining server with 0 kept connections
    When it is stopped right before its thread waits for its sockets
    Then its thread ends without an error within 5 s
