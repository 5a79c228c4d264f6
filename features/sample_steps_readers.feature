Feature: Parsing the requests of trainers
  All problems of a body are reported together, each with its path, and an invalid body changes nothing.

  Scenario Outline: A compact set of sample numbers is read and written
    When the sample set "<text>" of a step of 10 is read
    Then the sample numbers are <numbers>
    And the sample set is written as "<text>"

    Examples:
      | text      | numbers             |
      |           | none                |
      | 0         | 0                   |
      | 0-9       | 0 1 2 3 4 5 6 7 8 9 |
      | 0-2,5,8-9 | 0 1 2 5 8 9         |

  Scenario Outline: A sample set that is malformed or names other numbers than the step's is rejected
    When the sample set "<text>" of a step of 10 is read
    Then the sample findings are
      | place | problem   |
      | held  | <problem> |

    Examples:
      | text            | problem                                |
      | x               | 'x' is no number or range              |
      | -1              | '-1' is no number or range             |
      | 1,              | '' is no number or range               |
      | 1, 2            | ' 2' is no number or range             |
      | ٣               | '٣' is no number or range              |
      | 99999999999     | '99999999999' is no number or range    |
      | 3-1             | '3-1' does not ascend                  |
      | 1-4,4           | '4' does not ascend                    |
      | 0-9,0-9         | '0-9' does not ascend                  |
      | 5-10            | '5-10' is outside 0-9                  |

  Scenario: A step is read
    When the trainer's step "12" is read from
      """
      {"incarnation": 3, "version": 7, "held": "0-1", "added_later": true,
       "groups": [{"prompt": "a", "prefix": "", "samples": 2, "max_tokens": 9},
                  {"prompt": "b", "prefix": "p", "samples": 3, "max_tokens": 9}]}
      """
    Then the trainer's step is 12 with 5 samples and holds 0 1

  Scenario: A step without held samples differs from one with an empty set of them
    When the trainer's step "12" is read from
      """
      {"incarnation": 3, "version": 7, "groups": [{"prompt": "a", "prefix": "", "samples": 2, "max_tokens": 9}]}
      """
    Then the trainer's step is 12 with 2 samples and does not say what it holds

  Scenario: All problems of a step are reported together
    When the trainer's step "-1" is read from
      """
      {"incarnation": true, "groups": [
        {"prompt": "a", "prefix": "", "samples": 0, "max_tokens": 9},
        7,
        {"prompt": "\ud800", "samples": 1.5, "prefix": null}]}
      """
    Then the sample findings are
      | place                | problem                              |
      | step                 | is no whole number of at most 15 digits |
      | incarnation          | is no whole number                   |
      | version              | is missing                           |
      | groups[1]            | is no object                         |
      | groups[0].samples    | is not from 1 to 16384               |
      | groups[2].prompt     | holds half of a surrogate pair       |
      | groups[2].prefix     | is no text                           |
      | groups[2].samples    | is no whole number                   |
      | groups[2].max_tokens | is missing                           |

  Scenario Outline: A step that exceeds a limit is rejected
    When a trainer's step with <groups> groups of <samples> samples and prompts of <bytes> bytes is read
    Then the sample findings are
      | place   | problem   |
      | <place> | <problem> |

    Examples:
      | groups | samples | bytes    | place            | problem                                    |
      | 4097   | 1       | 1        | groups           | has 4097 entries, more than 4096           |
      | 3      | 8192    | 1        | groups           | has 24576 samples in all, more than 16384  |
      | 1      | 1       | 262145   | groups[0].prompt | has 262145 bytes, more than 262144         |
      | 1      | 1       | 17000000 | body             | has 17000105 bytes, more than 16777216     |

  Scenario Outline: A body that is not a JSON object is rejected
    When the trainer's pull is read from the bytes <bytes>
    Then the sample findings name body

    Examples:
      | bytes                |
      | nothing              |
      | ff                   |
      | 5b5d                 |
      | 5b * 100000          |
      | 31 * 5000            |
      | 7b22686c6422         |

  Scenario Outline: An invalid pull is rejected with the path of each problem
    When the trainer's pull is read from the text <body>
    Then the sample findings name <places>

    Examples:
      | body                                                                        | places                                    |
      | {}                                                                          | incarnation, version, held, wait_ms, most |
      | {"incarnation": 3, "version": 7, "held": "0,0", "wait_ms": 1, "most": 1}    | held                                      |
      | {"incarnation": 3, "version": 7, "held": 0, "wait_ms": 60001, "most": 0}    | held, wait_ms, most                       |
      | {"incarnation": 1e3, "version": NaN, "held": "", "wait_ms": 0, "most": 9007199254740992} | incarnation, version, most   |
