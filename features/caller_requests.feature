Feature: Validation of callers' requests
  All problems of a request are reported in one answer, each with its header or path, and the request is not run.

  Scenario Outline: An invalid request
    Given a caller's request to <operation> with key <key>, timeout <timeout> and body <body>
    When the caller's request is read
    Then the caller's request has problems at <places>

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

  Scenario Outline: The timeout of a valid request is limited by its operation
    Given a caller's request to <operation> with key <key>, timeout <timeout> and body <body>
    When the caller's request is read
    Then the caller's request has a deadline within <ms> ms

    Examples:
      | operation  | key      | timeout | body                             | ms   |
      | booking    | 200 long | none    | {}                               | 2000 |
      | booking    | a        | 500     | anything                         | 500  |
      | booking    | a        | 9000    | {}                               | 2000 |
      | lookup     | none     | none    | {}                               | 2000 |
      | suggestion | none     | none    | {"prompt": "a", "max_tokens": 1} | 2000 |
