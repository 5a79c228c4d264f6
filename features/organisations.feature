Feature: Organisations and the keys of their clients
  Organisation red holds the keys r1 and r2 and has priority 0, blue holds b1 and has none.

  Scenario Outline: A key identifies the caller, and is rejected only if it is certainly unknown
    # Guards against requests run without an organisation, and against the rejection of a key that was
    # just added.
    Given the organisations are <configured> and the newest configuration is <age>
    When a call comes with the header <header> for a <kind> route
    Then the caller is <caller>

    Examples:
      | configured | age          | header     | kind    | caller           |
      | red blue   | known        | Bearer r1  | private | red priority 0   |
      | red blue   | known        | Bearer r2  | private | red priority 0   |
      | red blue   | known        | bearer b1  | private | blue             |
      | red blue   | maybe newer  | Bearer r1  | private | red priority 0   |
      | red blue   | known        | Bearer x   | private | unknown          |
      | red blue   | maybe newer  | Bearer x   | private | maybe unknown    |
      | red blue   | known        | Basic r1   | private | unknown          |
      | red blue   | known        | r1         | private | unknown          |
      | red blue   | known        | Bearer R1  | private | unknown          |
      | red blue   | known        | none       | private | unknown          |
      | red blue   | maybe newer  | none       | private | maybe unknown    |
      | red blue   | known        | none       | public  | anonymous        |
      | red blue   | known        | Bearer x   | public  | anonymous        |
      | red blue   | known        | Bearer b1  | public  | blue             |
      | red        | known        | Bearer b1  | private | unknown          |
      | none       | known        | Bearer r1  | private | unknown          |
      | without    | known        | Bearer r1  | private | anybody          |
      | without    | maybe newer  | none       | private | anybody          |

  Scenario Outline: Only an entry that knows the newest configuration answers "unknown key"
    # Guards against a 401, which is never retried, for a key that another entry already knows.
    Given an entry that read <configuration> and last heard the operator's records <seconds> s ago
    When a caller presents <key>
    Then its lookup says <answer>

    Examples:
      | configuration      | seconds | key | answer |
      | no configuration   | 0.0     | r1  | unsure |
      | a configuration    | 0.0     | r1  | red    |
      | a configuration    | 60.0    | r1  | red    |
      | a configuration    | 0.0     | x   | denied |
      | a configuration    | 2.0     | x   | denied |
      | a configuration    | 2.6     | x   | unsure |

  Scenario Outline: The cost of a key lookup does not grow with the number of keys
    # Guards against a search through all organisations for each request.
    Given <count> organisations of two keys each
    Then a key is found by comparing it with at most 2 others

    Examples:
      | count |
      | 77    |
      | 10000 |

  Scenario Outline: Kept texts are never given to another organisation
    # Guards against a sample given to a caller that names the item of another organisation.
    Given a text of item i of model m that was kept for red
    Then <organisation> finds <found> for item i

    Examples:
      | organisation | found   |
      | red          | a text  |
      | blue         | nothing |

  Scenario: Batch records state their organisation, and those of an earlier release have none
    # Guards against batch records that can't be decoded after an upgrade.
    Then records of both kinds are read, with red and with no organisation

  Scenario: Calls and batches through the front program with and without keys
    # Guards against keys that reach servers, and against organisation names invented by clients.
    Given the platform's stand-in with the organisations red and blue, and the front program
    Then a call with key r1 is run for red, without the key and whatever name the client sent
    And a call with an unknown key is answered 401 and runs nowhere
    And a call without a key is answered 200 on the public route, for nobody
    And a batch of red is run for red, and its scorings for nobody
    And a batch of red is read, asked for bodies and ended with key r2, and is unknown with key b1
    And a name that red's batch has is not accepted from blue

  Scenario Outline: Keys are added, revoked and moved while clients are connected
    # Guards against a revoked key that is still accepted, and a new or moved key that is unknown.
    Given the platform's stand-in with the organisations red and blue, and the front program
    When <trouble> while the operator takes r1 away, adds r3 and gives r2 to blue
    Then within 3 s a call with key r1 is answered 401, with r3 run for red and with r2 for blue
    And a batch that was handed in with r1 is still run, and read with r3

    Examples:
      | trouble                                |
      | nothing happens                        |
      | the store is down for 1.5 s            |
      | the store is silent for 1.5 s          |
      | the store takes 0.25 s an answer       |
      | the program is suspended for 2.0 s     |
      | another configuration follows at once  |

  Scenario Outline: During an outage of the store, no key that may be new is rejected
    # Guards against a 401, which is never retried, from an entry that can't reach the store.
    Given the platform's stand-in with the organisations red and blue, and the front program
    When the store <is away> for 4 s
    Then a call with key r1 is run for red, without the key and whatever name the client sent
    And a call with key r3 is answered 503 with when to come back, and runs nowhere

    Examples:
      | is away   |
      | is down   |
      | is silent |

  Scenario: Keys stay out of the logs
    # Guards against secrets in logs, which many people may read.
    Given the platform's stand-in with the organisations red and blue, and the front program
    Then a call with key r1 is run for red, without the key and whatever name the client sent
    And a call with an unknown key is answered 401 and runs nowhere
    And no log line has a key
