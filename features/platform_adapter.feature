Feature: The adapter decodes the platform's messages
  Examples are written as the platform sends them; only the adapter and this test know its names.

  Scenario Outline: A malformed registration brings no server into rotation
    # Any program can write to the topic. Undecodable bytes, a missing field or an unknown state must
    # neither stop the reader of the list nor bring a server into rotation; servers with valid
    # registrations stay.
    Given the registrations good and <key> with <change>
    Then the servers in rotation are <servers>

    Examples:
      | key  | change                       | servers      |
      | s2   | nothing                      | good s2      |
      | s2   | state=draining               | good         |
      | s2   | state=asleep                 | good         |
      | s2   | state=                       | good         |
      | s2   | state=7                      | good         |
      | s2   | no service                   | good         |
      | s2   | service=5                    | good         |
      | s2   | service=unheard              | good         |
      | s2   | no address                   | good         |
      | s2   | address=nowhere              | good         |
      | s2   | address=10.0.0.1:99999       | good         |
      | s2   | address=[1]                  | good         |
      | s2   | no zone                      | good         |
      | s2   | slots="8"                    | good         |
      | s2   | slots=-1                     | good         |
      | s2   | sequence=1.5                 | good         |
      | s2   | no sequence                  | good         |
      | s2   | born="yesterday"             | good         |
      | s2   | born=17                      | good s2      |
      | s2   | models=5                     | good         |
      | s2   | models=[{"name":"m"}]        | good         |
      | s2   | extra="field"                | good s2      |
      | s2   | bytes not-json               | good         |
      | s2   | bytes []                     | good         |
      | s2   | bytes null                   | good         |
      | good | bytes not-json               | none         |

  Scenario: A server that restarts under the same id is a new incarnation
    # Guards against failures of the earlier process that keep the new one out of rotation.
    Given the registrations good and good with born=17
    Then the incarnation of good is good/17

  Scenario Outline: Removals are delayed only right after an outage
    # Registrations expire while the platform is down; live servers register again within two seconds
    # of its return. Removing them at once would refuse their callers; keeping them for longer would
    # send work to servers that are gone.
    Given a list that was silent for <silent> s and then removes a server
    Then after <seconds> s more the server is <state>

    Examples:
      | silent | seconds | state        |
      | 0.5    | 0.0     | out          |
      | 6.0    | 0.0     | in rotation  |
      | 6.0    | 1.9     | in rotation  |
      | 6.0    | 2.1     | out          |

  Scenario Outline: A configuration with any fault is rejected as a whole
    Given a configuration with <change>
    Then this configuration is <verdict>

    Examples:
      | change                           | verdict  |
      | nothing                          | in force |
      | routes.0.kind="sometimes"        | rejected |
      | routes.0.timeout_ms="soon"       | rejected |
      | routes.0.traffic_split=5         | rejected |
      | version="seven"                  | rejected |
      | limits=null                      | rejected |
      | routes.0.retention_s=1.5         | in force |
      | unheard=1                        | in force |
      | routes.0.public="yes"            | rejected |
      | tenants=[]                       | in force |
      | tenants=[{"name":"o","api_keys":["k"]}]                  | in force |
      | tenants=[{"name":"o","api_keys":["k","l"],"priority":1}] | in force |
      | tenants=[{"name":"o","api_keys":[]}]                     | in force |
      | tenants=[{"name":"o"}]                                   | rejected |
      | tenants=[{"api_keys":["k"]}]                             | rejected |
      | tenants=[{"name":"","api_keys":["k"]}]                   | rejected |
      | tenants=[{"name":"o","api_keys":[7]}]                    | rejected |
      | tenants=[{"name":"o","api_keys":["k k"]}]                | rejected |
      | tenants=[{"name":"o","api_keys":["k\n"]}]                | rejected |
      | tenants=[{"name":"o","api_keys":["k","k"]}]              | rejected |
      | tenants=[{"name":"o","api_keys":["k"]},{"name":"p","api_keys":["k"]}] | rejected |
      | tenants=[{"name":"o","api_keys":["k"]},{"name":"o","api_keys":["l"]}] | rejected |
      | tenants=[{"name":"o","api_keys":["k"],"priority":-1}]    | rejected |
      | tenants=5                                                | rejected |

  Scenario: An older configuration is ignored
    Given the configurations 7 and then 5
    Then the version of the routes is 7

  Scenario Outline: An event of a stream is accepted only if its id follows the last one
    # An engine may truncate, repeat or omit an event. Text with a gap or a duplicate would reach the
    # trainer as a sample.
    Given a stream after event <last> of <lines>
    Then its events are <events>

    Examples:
      | last | lines                                                            | events             |
      | 0    | id: 1,data: a,,id: 2,data: b,                                    | a@3 b@3 end        |
      | 0    | id: 1,x-oleanderdeal-weight-versions: 4,data: a,                 | a@4 end            |
      | 0    | id: 1,data: a,,x-oleanderdeal-weight-versions: 4,id: 2,data: b,  | a@3 b@4 end        |
      | 5    | id: 6,data: f,                                                   | f@3 end            |
      | 5    | id: 1,data: a,                                                   | broken             |
      | 0    | id: 1,data: a,,id: 3,data: c,                                    | a@3 broken         |
      | 0    | id: 1,data: a,,id: 1,data: a,                                    | a@3 broken         |
      | 0    | data: a,                                                         | broken             |
      | 0    | id: 1,data: a                                                    | broken             |
      | 0    | id: 1,data: a,data: b,                                           | a_b@3 end          |

  Scenario Outline: An order reuses the connection on which the server's state was read
    # Servers accept some hundred connections from all callers together. One more per order would be
    # a tenth to a fifth of all connections opened on a quiet day.
    Given a server that <keeps> its connections
    When an entry asks for its state and orders it to load weights, <times> times
    Then the server saw <requests> requests on <connections> connections, and took each order

    Examples:
      | keeps       | times | requests | connections |
      | keeps open  | 1     | 2        | 1           |
      | keeps open  | 3     | 6        | 1           |
      | soon closes | 2     | 4        | 4           |

  Scenario Outline: All faults of the settings file are reported together, each with its field
    Given a settings file with <change>
    Then the settings are <verdict>

    Examples:
      | change                           | verdict                            |
      | nothing                          | sound                              |
      | unheard=1                        | sound                              |
      | no node_name                     | faulty in node_name                |
      | ip=5                             | faulty in ip                       |
      | no listen                        | faulty in listen.front listen.ready |
      | bounds.grace_s="8"               | faulty in bounds.grace_s           |
      | platform.call_bytes=2097152      | sound                              |
      | platform.call_bytes="2 MB"       | faulty in platform.call_bytes      |
      | platform.record_bytes=0          | faulty in platform.record_bytes    |
      | platform.record_bytes=4095       | faulty in platform.record_bytes    |
      | platform.record_bytes=4096       | sound                              |

  Scenario: No source file outside the adapter contains the platform's wire names
    Then no file of the product, its stand-ins or its bench has a name of the platform

  Scenario Outline: An append whose answer is lost may have taken effect
    # Guards against reporting "not accepted" for a batch that is in the log and will run.
    Given a store that ends while it reads an append on a <connection> connection
    When a record is appended there
    Then the append says that it may have had effect

    Examples:
      | connection |
      | new        |
      | kept       |

  Scenario Outline: A refusal of the second send of an append does not undo the first
    # Guards against "refused" for a batch that runs: the store carried out an append, the connection
    # was reset before the answer, and the same call on a new connection is answered with a refusal.
    Given a store that breaks off, then <status> while it reads an append on a <connection> connection
    When a record is appended there <how>
    Then after <sends> sends it is reported as <outcome>

    Examples:
      | connection | status | how      | sends | outcome   |
      | kept       | 503    | anywhere | 2     | doubtful  |
      | kept       | 429    | anywhere | 2     | doubtful  |
      | kept       | 412    | at 7     | 2     | doubtful  |
      | kept       | 503    | at 7     | 2     | doubtful  |
      | new        | 503    | anywhere | 1     | doubtful  |

  Scenario Outline: A refusal of the only send of an append shows that it had no effect
    Given a store that answers an append on a <connection> connection with <status>
    When a record is appended there <how>
    Then after 1 sends it is reported as <outcome>

    Examples:
      | connection | status | how      | outcome   |
      | kept       | 503    | anywhere | no effect |
      | new        | 429    | anywhere | no effect |
      | kept       | 412    | at 7     | end moved |
      | kept       | 500    | anywhere | doubtful  |
