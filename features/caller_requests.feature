Feature: What callers send is checked as a whole
  Every fault of a request is reported in one answer, with its place; nothing is run.

  Scenario Outline: A request with faults
    Given a caller's request to <operation> with key <key>, timeout <timeout> and body <body>
    When the caller's request is read
    Then the caller's faults are at <places>

    Examples:
      | operation  | key        | timeout   | body                                               | places                                                                       |
      | booking    | none       | none      | {}                                                 | header Idempotency-Key                                                       |
      | booking    | with space | none      | {}                                                 | header Idempotency-Key                                                       |
      | booking    | 201 long   | none      | {}                                                 | header Idempotency-Key                                                       |
      | booking    | a          | 0         | {}                                                 | header Request-Timeout-Ms                                                    |
      | booking    | a          | -5        | {}                                                 | header Request-Timeout-Ms                                                    |
      | booking    | a          | soon      | {}                                                 | header Request-Timeout-Ms                                                    |
      | booking    | none       | soon      | 2 MiB                                              | header Idempotency-Key, header Request-Timeout-Ms, body                      |
      | lookup     | with space | none      | {}                                                 | header Idempotency-Key                                                       |
      | suggestion | none       | none      | not JSON                                           | body                                                                         |
      | suggestion | none       | none      | [1]                                                | body                                                                         |
      | suggestion | none       | none      | {}                                                 | body.prompt, body.max_tokens                                                 |
      | suggestion | none       | none      | {"prompt": 5, "max_tokens": true, "stream": "yes"} | body.prompt, body.max_tokens, body.stream                                    |
      | suggestion | none       | none      | {"prompt": "a", "max_tokens": 0}                   | body.max_tokens                                                              |
      | suggestion | with space | soon      | {"prompt": "a", "max_tokens": 1, "prefix": 7}      | header Idempotency-Key, header Request-Timeout-Ms, body.prefix               |

  Scenario Outline: A request without faults
    Given a caller's request to <operation> with key <key>, timeout <timeout> and body <body>
    When the caller's request is read
    Then the caller has at most <ms> ms

    Examples:
      | operation  | key      | timeout | body                             | ms   |
      | booking    | 200 long | none    | {}                               | 2000 |
      | booking    | a        | 500     | anything                         | 500  |
      | booking    | a        | 9000    | {}                               | 2000 |
      | lookup     | none     | none    | {}                               | 2000 |
      | suggestion | none     | none    | {"prompt": "a", "max_tokens": 1} | 2000 |
