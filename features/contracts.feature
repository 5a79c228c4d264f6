Feature: Contracts
  A contract is validated as a whole: all errors are reported with their locations. An invalid
  contract has no effect.

  Scenario Outline: The example contracts are valid and survive a round trip through JSON
    Given the contract example <file>
    When the contract is read
    Then the contract of <customer> has operations <operations> and trainers <trainers>
    And the contract is the same after it was written to the log's form and read back

    Examples:
      | file         | customer | operations                                    | trainers |
      | catania.yaml | catania  | booking, record-lookup, suggestion            | designs  |
      | caroni.yaml  | caroni   | standing-order, shipment, depot-sync, offer   | offers   |

  Scenario Outline: An error is reported with its line, column, field and fix
    Given this contract
      """
      customer: desk
      share_percent: 60
      retry_percent: 10
      operations:
        - {name: booking, backend: desk, priority: critical, repeatable: false, timeout_ms: 2000}
        - {name: lookup, backend: desk, priority: background, repeatable: true, timeout_ms: 9000}
      trainers:
        - {name: designs, backend: designs, model: art, staleness_bound: 2, objective: staleness, hedge_percent: 5}
      """
    When <old> becomes <new> in the contract and it is read
    Then the contract findings are <findings>

    Examples: fields
      | old                  | new                   | findings |
      | customer: desk       | custmer: desk         | t:1:1 customer: is missing; t:1:1 custmer: is no known field (did you mean customer?) |
      | customer: desk       | customer: Desk        | t:1:11 customer: is no name: 'Desk' (lower-case letters, digits and hyphens, first a letter, at most 64) |
      | customer: desk       | customer: operator    | t:1:11 customer: is kept for operators |
      | share_percent: 60    | share_percent: 0      | t:2:16 share_percent: 0 is outside 1 to 100 |
      | share_percent: 60    | share_percent: 101    | t:2:16 share_percent: 101 is outside 1 to 100 |
      | share_percent: 60    | share_percent: 60.0   | t:2:16 share_percent: is no whole number: '60.0' |
      | share_percent: 60    | share_percent: "60"   | t:2:16 share_percent: is no whole number: '60' |
      | share_percent: 60    | share_percent: true   | t:2:16 share_percent: is no whole number: True |
      | share_percent: 60    | share_percent:        | t:2:1 share_percent: is no whole number: empty |
      | retry_percent: 10    | retry_percent: -1     | t:3:16 retry_percent: -1 is outside 0 to 100 |
      | retry_percent: 10    | share_percent: 10     | t:3:1 share_percent: stands here a second time; t:1:1 retry_percent: is missing |
      | timeout_ms: 2000     | timeout_ms: 600001    | t:5:87 operations[0].timeout_ms: 600001 is outside 1 to 600000 |
      | timeout_ms: 9000     | timeout_ms: 0         | t:6:87 operations[1].timeout_ms: 0 is outside 1 to 600000 |
      | timeout_ms: 2000     | timeout_ms: 2, worth: 1001 | t:5:97 operations[0].worth: 1001 is outside 0 to 1000 |
      | name: lookup         | name: booking         | t:6:12 operations[1].name: booking is already at t:5:12 operations[0].name |
      | name: lookup         | name: trainer         | t:6:12 operations[1].name: is kept for trainers |
      | priority: critical   | priority: urgent      | t:5:46 operations[0].priority: 'urgent' is none of critical, interactive, sampling, background |
      | repeatable: false,   |                       | t:5:5 operations[0].repeatable: is missing (true if running it twice does no harm, else false) |
      | repeatable: false    | repeatable: no        | t:5:68 operations[0].repeatable: is neither true nor false: 'no' (true if running it twice does no harm, else false) |
      | model: art,          |                       | t:8:5 trainers[0].model: is missing (the model whose weights this trainer updates) |
      | staleness_bound: 2   | staleness_bound: 101  | t:8:68 trainers[0].staleness_bound: 101 is outside 0 to 100 |
      | objective: staleness | objective: both       | t:8:82 trainers[0].objective: 'both' is none of staleness, idle-time |
      | hedge_percent: 5     | hedge_percent: 101    | t:8:108 trainers[0].hedge_percent: 101 is outside 0 to 100 |

    Examples: structure and syntax
      | old                  | new                   | findings |
      | customer: desk       | ? [a]                 | t:1:1 customer: is missing; t:1:3 ?: is no known field (known: customer, share_percent, retry_percent, operations, trainers) |
      | operations:          | operations: [1]       | t:5:3: is no YAML: expected <block end>, but found '<block sequence start>' |
      | trainers:            | trainers: 5\nmore:    | t:7:11 trainers: is no list; t:8:1 more: is no known field (known: customer, share_percent, retry_percent, operations, trainers) |
      | share_percent: 60    | share_percent: [60]   | t:2:16 share_percent: is no whole number: 'sequence' |
      | share_percent: 60    | share_percent: !!python/object:os.system 60 | t:2:16 share_percent: is no whole number: '60' |
      | customer: desk       | ---\n---              | t:2:1: is no YAML: but found another document |
      | customer: desk       | customer: *desk       | t:1:11: is no YAML: found undefined alias 'desk' |

  Scenario: Errors in several fields are reported together
    Given the contract example caroni.yaml
    When priority: critical becomes priority: 1 in the contract and it is read
    Then the contract findings stand at operations[0].priority, operations[1].priority

  Scenario Outline: A text that is not a contract gives a finding and no exception
    # A parser that recurses or constructs objects could crash the process on such a text. So the
    # size is limited, the YAML is composed without constructing objects, and a text that is nested
    # too deeply is rejected. The operator sees one line.
    Given a contract text of <count> times <piece>
    When the contract is read
    Then the contract findings are <findings>

    Examples:
      | count | piece | findings |
      | 0     | x     | t: is empty |
      | 65537 | x     | t: has 65537 bytes, more than 65536 |
      | 1000  | [     | t: is no YAML: nested too deep |
      | 1     | \0    | t: is no YAML: unacceptable character #x0000: special characters are not allowed |
      | 1     | &a [*a] | t:1:1: is no mapping of fields |
      | 1     | {}    | t:1:1 customer: is missing; t:1:1 share_percent: is missing; t:1:1 retry_percent: is missing; t:1:1 operations: is missing |

  Scenario Outline: JSON text is read as YAML, and findings in a JSON document name paths
    Given the contract text {"customer": "a", "share_percent": <share>, "retry_percent": 0, "operations": <operations>}
    When the contract is read from <form>
    Then the contract findings are <findings>

    Examples:
      | form | share | operations | findings |
      | text | 5     | []         | none |
      | JSON | 5     | []         | none |
      | text | 500   | []         | t:1:36 share_percent: 500 is outside 1 to 100 |
      | JSON | 500   | {}         | share_percent: 500 is outside 1 to 100; operations: is no list |
      | JSON | 1.5   | [3]        | share_percent: is no whole number: 'float'; operations[0]: is no mapping of fields |
      | JSON | null  | []         | share_percent: is no whole number: empty |
