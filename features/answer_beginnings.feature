Feature: Answers of the platform that end early
  A server sends the first bytes of an answer, and closes the connection, for each number of bytes there is.

  Scenario Outline: No reader takes the beginning of an answer for the whole
    # Guards against a list, a page or a result that is short or empty, or an order or a record that
    # counts as taken, because the end of the answer looked like the end of the connection.
    When <call> gets each beginning of an answer <framing>
    Then it fails until the body is whole, and is never told that nothing was done

    Examples:
      | call                           | framing       |
      | an append to the log           | with a length |
      | an append to the log           | in chunks     |
      | a read of the log              | with a length |
      | a read of the log              | in chunks     |
      | a read of the hosts            | with a length |
      | a read of the hosts            | in chunks     |
      | a call of a service            | with a length |
      | a call of a service            | in chunks     |
      | an empty call of a service     | with a length |
      | an order to load weights       | with a length |
      | an order to load weights       | in chunks     |
      | a read of the version          | in chunks     |
      | a read of the load             | in chunks     |
      | a generation                   | with a length |
      | a generation                   | in chunks     |
      | a read of an entry             | in chunks     |
      | a record for the store         | with a length |
      | a record for the store         | in chunks     |
      | a page of the store            | with a length |
      | a page of the store            | in chunks     |
      | the newest of the store        | in chunks     |
      | a membership                   | in chunks     |
      | an end of a membership         | with a length |
      | a usage report                 | with a length |
      | a usage report                 | in chunks     |
      | a request of a stand-in        | with a length |
      | a request of a stand-in        | in chunks     |
      | an empty request of a stand-in | with a length |
