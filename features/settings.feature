Feature: Settings
  All settings of a process are checked before it starts, and every fault names its flag or variable.

  Background:
    Given settings of a sidecar that are all sound

  Scenario Outline: A flag overrides the variable, and the variable overrides the default
    When the setting variable <variable> and the setting flag <flag> are given
    Then the value of setting <name> is <value>

    Examples:
      | variable                 | flag                                  | name            | value |
      | none                     | none                                  | slots           | 4     |
      | OLEANDERDEAL_SLOTS=7     | none                                  | slots           | 7     |
      | OLEANDERDEAL_SLOTS=7     | --slots=9                             | slots           | 9     |
      | none                     | --address=[::1]:80                    | listen_host     | ::1   |
      | none                     | --address=127.0.0.1:0                 | listen_port     | 0     |
      | none                     | --log_json                            | log_json        | True  |
      | OLEANDERDEAL_LOG_JSON=1  | --nolog_json                          | log_json        | False |
      | none                     | --checks_fencing=true                 | checks_fencing  | True  |
      | OLEANDERDEAL_WAIT_MS=x   | none                                  | wait_ms         | 8000  |
      | none                     | --backend_url=http://127.0.0.1:9/     | backend_url     | http://127.0.0.1:9 |
      | UNRELATED=1              | --backend_kind=service                | backend_kind    | service |

  Scenario Outline: A faulty setting is named by its flag or variable
    When the setting variable <variable> and the setting flag <flag> are given
    Then the setting findings are <place>: <problem>

    Examples:
      | variable                   | flag                       | place                      | problem |
      | OLEANDERDEAL_SLOTS=0       | none                       | OLEANDERDEAL_SLOTS         | 0 is outside 1 to 1024 (in requests) |
      | OLEANDERDEAL_SLOTS=0       | --slots=1025               | --slots                    | 1025 is outside 1 to 1024 (in requests) |
      | none                       | --slots=1e3                | --slots                    | is no whole number: '1e3' (in requests) |
      | none                       | --slots=                   | --slots                    | is no whole number: '' (in requests) |
      | OLEANDERDEAL_SLOTTS=4      | none                       | OLEANDERDEAL_SLOTTS        | is not a known variable (did you mean OLEANDERDEAL_SLOTS?) |
      | none                       | --slotts=4                 | --slotts                   | is no flag of sidecar (did you mean --slots?) |
      | none                       | --peer_limit=4             | --peer_limit               | is no flag of sidecar (it belongs to entry) |
      | none                       | --flagfile=/dev/null       | --flagfile                 | is no flag of sidecar |
      | none                       | --undefok=slots            | --undefok                  | is no flag of sidecar |
      | none                       | stray                      | stray                      | is no flag (settings are given as --name=value) |
      | none                       | --slots                    | --slots                    | can't be read (settings are given as --name=value) |
      | none                       | --nolog_json=1             | --nolog_json=1             | can't be read (settings are given as --name=value) |
      | none                       | --log_json=maybe           | --log_json                 | is neither true nor false: 'maybe' (true or false) |
      | none                       | --log_level=loud           | --log_level                | 'loud' is none of debug, info, warning, error (one of a few words) |
      | none                       | --address=desk:80          | --address                  | 'desk:80' is no IP:port (in IP:port) |
      | none                       | --address=127.0.0.1:65536  | --address                  | '65536' is no port from 0 to 65535 (in IP:port) |
      | none                       | --name=Desk_1              | --name                     | 'Desk_1' is no name: lower-case letters, digits and hyphens, first a letter, at most 64 (name) |
      | none                       | --log_url=127.0.0.1:80     | --log_url                  | '127.0.0.1:80' is no URL of the form http://host:port (http://host:port) |
      | none                       | --log_url=http://a:b       | --log_url                  | 'http://a:b' is no URL (http://host:port) |
      | none                       | --log_url=https://a:1      | --log_url                  | 'https://a:1' is no URL of the form http://host:port (http://host:port) |
      | none                       | --log_url=http://a:1/log   | --log_url                  | 'http://a:1/log' has more than host and port (http://host:port) |
      | none                       | --statsd_host=statsd       | --statsd_host              | 'statsd' is no IP number (IP number) |
      | none                       | --backend_kind=engine      | --model                    | must be given (an engine runs one model) |

  Scenario: All faults of all sources are reported together
    When the setting variable OLEANDERDEAL_QUEUE_LENGTH=-1 and the setting flag --slots=x --naem=a are given
    Then the places of the setting findings are --naem, --slots, OLEANDERDEAL_QUEUE_LENGTH

  Scenario: Without any settings, every required one is reported
    When settings of entry are read from nothing
    Then the places of the setting findings are --name, --address, --failure_domain, --log_url, --hosts_url, --process_token

  Scenario Outline: Customers' tokens are parsed, and a fault names its pair but not the token
    When settings of entry are read with the customer tokens <text>
    Then the customer tokens are <customers>

    Examples:
      | text                          | customers                 |
      | catania=secret1,caroni=s=2    | catania secret1, caroni s=2 |
      | catania=old,catania=new       | catania old, catania new  |
      | catania=same,caroni=same      | rejected: pair 2 repeats another pair's token |
      | catania                       | rejected: pair 1 has no token of visible ASCII after = |
      | catania=a,=b                  | rejected: pair 2 has no name before = |

  Scenario: Secrets are not shown where settings are printed
    When settings of entry are read with the customer tokens catania=hush
    Then the printed settings do not hold hush

  Scenario Outline: An unknown command is reported with the most similar one
    When settings of <command> are read from nothing
    Then the setting findings are <place>: <problem>

    Examples:
      | command  | place    | problem                               |
      | entri    | entri    | is no command (did you mean entry?)   |
      | publsh   | publsh   | is no command (did you mean publish?) |
      | x        | x        | is no command                         |

  Scenario: The table, the typed settings and the help agree
    Then every setting of the table is an attribute and stands in the help
