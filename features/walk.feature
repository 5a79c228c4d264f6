Feature: The quick start works with the one-file program in an empty environment
  Runs the commands of QUICKSTART in the same order.

  Scenario: Check, publish, call, report, audit, stop a host during traffic
    # An operator writes a contract with two mistakes, corrects and publishes it, and stops a host
    # during traffic. No caller sees an error: the sidecar tells the entries that it is leaving and
    # finishes its running requests, and all others go to the other host.
    Given the binary runs a walk with 2 services and 2 entries
    When the walk's contract with two mistakes is checked
    Then the walk's command exits 1 and names "priority" and "timeout_ms"
    When the walk's contract is published by "ada"
    Then the walk's command exits 0 and names "accepted" and "2 of 2"
    When the walk's contract is published again on the same base by "grace"
    And 60 bookings run while "desk-a" is stopped
    Then every booking of the walk was done once
    And "desk-a" of the walk exited with 0
    When the walk's report is printed
    Then the walk's command exits 0 and names "booking" and "catania"
    When the walk's audit is printed
    Then the walk's command exits 0 and names "ada" and "contract catania"

  Scenario Outline: The binary prints its version, its help and errors in its arguments
    Given the binary in an empty environment
    When the walk's binary runs with <arguments>
    Then the walk's command exits <code> and names "<one>" and "<two>"

    Examples:
      | arguments                     | code | one              | two                |
      | --version                     | 0    | 0.1.0            | 0.1                |
      | --help                        | 0    | publish          | audit              |
      | entry --help                  | 0    | OLEANDERDEAL_    | default            |
      | pubish                        | 2    | did you mean     | publish            |
      | entry --adress=127.0.0.1:1    | 2    | --adress         | --address          |
      | entry --peer_limit=0 --name=? | 2    | --peer_limit     | --name             |

  Scenario: The binary compiles no module when it starts
    # Guards against hosts that take seconds of processor time to start, as each start compiles all modules.
    Given the binary in an empty environment
    Then the binary holds the byte code of each of its modules for this interpreter
