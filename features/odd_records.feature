Feature: One odd record of another writer
  Any program can write to the platform's log. A value is written as JSON, or by its name in `odd_values`.

  Scenario Outline: A record with an odd value is rejected, and those before and after it are followed
    # Guards against a reader that ends, or reads one page again for ever, because of one record.
    Given a reader of <records>
    When another writer leaves one with <field> = <value> between two sound ones
    Then the reader has followed the sound ones only

    Examples: servers
      | records       | field             | value              |
      | registrations | slots             | huge               |
      | registrations | slots             | infinite           |
      | registrations | slots             | 70000              |
      | registrations | slots             | nested             |
      | registrations | born              | huge               |
      | registrations | sequence          | huge               |
      | registrations | cold_remaining_ms | 9007199254740992   |
      | registrations | models.0.version  | huge               |
      | registrations | models.0.version  | infinite           |
      | registrations | models            | endlessly nested   |
      | registrations | models            | nested             |
      | registrations | zone              | "\ud800"           |
      | registrations | extra             | endlessly nested   |
      | registrations | extra             | of 5000 digits     |
      | registrations | address           | "10.0.0.9:0655359999" |
      | registrations | address           | "10.0.0.9:000080"  |
      | registrations | address           | "10.0.0.9:65536"   |
      | registrations | address           | "10.0.0.9:0"       |
      | registrations | address           | "10.0.0.9:-1"      |
      | registrations | address           | "10.0.0.9:8e1"     |
      | registrations | address           | "0.0.0.0:80"       |
      | registrations | address           | "224.0.0.1:80"     |
      | registrations | the key           | a line end         |
      | registrations | the key           | no text            |
      | registrations | the key           | nothing            |
      | registrations | the key           | in Greek           |

    Examples: the operator's records
      | records         | field                  | value            |
      | configurations  | version                | huge             |
      | configurations  | routes.0.timeout_ms    | huge             |
      | configurations  | routes.0.timeout_ms    | 1000000000001    |
      | configurations  | routes.0.due_ms        | 9007199254740991 |
      | configurations  | routes.0.retention_s   | infinite         |
      | configurations  | routes.0.retention_s   | huge             |
      | configurations  | routes.0.priority      | huge             |
      | configurations  | routes.0.traffic_split.0.weight | huge    |
      | configurations  | services.0.engine.models        | null    |
      | configurations  | services.0.engine.models        | 5       |
      | configurations  | services.0.engine.models        | nested  |
      | configurations  | services.0.engine.stride        | huge    |
      | configurations  | routes                 | nested           |
      | configurations  | tenants                | nested           |
      | configurations  | extra                  | endlessly nested |
      | target versions | version                | huge             |
      | target versions | version                | infinite         |
      | target versions | model                  | nested           |

    Examples: records of this program's topics
      | records | field | value     |
      | crashes | 0     | decimal   |
      | crashes | 0     | huge      |
      | crashes | 0     | nested    |
      | crashes | 1     | infinite  |
      | crashes | 1     | cyclic    |
      | batches | 4     | huge      |
      | batches | 5     | infinite  |
      | batches | 6     | decimal   |
      | batches | 8     | huge      |
      | batches | 9     | cyclic    |
      | batches | 0     | nested    |
      | batches | 0     | huge      |
      | leases  | 0     | decimal   |
      | leases  | 0     | huge      |
      | leases  | 1     | nested    |
      | leases  | 3     | huge      |
      | leases  | 3     | infinite  |
      | usage   | 1     | huge      |
      | usage   | 2     | infinite  |
      | usage   | 2     | decimal   |
      | usage   | 3.WINDOW.red | infinite |
      | usage   | 3.WINDOW.red | huge     |
      | usage   | 3     | nested    |
      | usage reports | 1 | infinite |
      | usage reports | 1 | huge     |
      | usage reports | 1 | far ahead |
      | usage reports | 2.red | decimal |

    Examples: records of sidecars' streams, whose pages hold the values as JSON
      | records   | field   | value            |
      | contracts | version | huge             |
      | contracts | version | infinite         |
      | contracts | kind    | nested           |
      | contracts | kind    | endlessly nested |
      | contracts | by      | endlessly nested |
      | contracts | by      | "\ud800"         |
      | contracts | extra   | endlessly nested |
      | contracts | extra   | nested           |
      | contracts | extra   | "\ud800"         |
      | claims    | attempt | huge             |
      | claims    | address | nested           |
      | claims    | address | endlessly nested |
      | claims    | address | "\ud800"         |
      | claims    | kind    | nested           |

  Scenario Outline: An odd answer, file or content is an error, not an exception
    # Guards against a caller that ends, or tries again without a log line, because of one odd value.
    When a sound <input> and one with <field> = <value> are read
    Then the sound one is accepted, and the other is an error

    Examples:
      | input           | field             | value            |
      | server's report | sequence          | huge             |
      | server's report | models.0.version  | infinite         |
      | server's report | models            | nested           |
      | server's report | extra             | endlessly nested |
      | membership      | generation        | infinite         |
      | membership      | generation        | huge             |
      | membership      | parts.0.1         | infinite         |
      | membership      | parts.0.1         | -1               |
      | membership      | parts.0           | {}               |
      | membership      | parts             | nested           |
      | membership      | extra             | endlessly nested |
      | append's answer | offset            | huge             |
      | append's answer | end               | infinite         |
      | list of keys    | end               | huge             |
      | list of keys    | has_more          | 1                |
      | list of hosts   | hosts.0.address   | "10.0.0.1:0655359999" |
      | list of hosts   | hosts             | nested           |
      | settings file   | bounds.grace_s    | huge             |
      | settings file   | bounds.lease_ms   | infinite         |
      | settings file   | bounds.lease_ms   | not a number     |
      | settings file   | bounds.status_s   | infinite         |
      | settings file   | platform.parts    | huge             |
      | settings file   | platform.parts    | of 5000 digits   |
      | settings file   | platform.parts    | 0                |
      | settings file   | internal_ports    | endlessly nested |
      | settings file   | internal_ports.0  | 70000            |
      | settings file   | listen.front      | "10.0.0.2:0655359999" |
      | settings file   | node_name         | bytes of no text |
      | submission      | 3                 | infinite         |
      | submission      | 5                 | decimal          |
      | submission      | 4                 | nested           |
      | submission      | 7.0.0             | nested           |
      | submission      | 7.0.3             | huge             |
      | submission      | 7.0.4             | infinite         |
      | submission      | 7.0.2.0.1         | nested           |
      | submission      | 7.0.6.0           | huge             |
      | result          | 2                 | nested           |
      | result          | 3.0               | infinite         |
      | result          | 4                 | cyclic           |
      | partial text    | 0                 | infinite         |
      | partial text    | 2                 | huge             |
      | partial text    | 3.0.1             | decimal          |
      | manifest        | bytes             | infinite         |
      | manifest        | bytes             | decimal          |
      | manifest        | ranges            | cyclic           |
      | trainer's batch | step              | huge             |
      | trainer's batch | items.0.tokens    | huge             |
      | trainer's batch | items.0.headers.a | nested           |
      | trainer's batch | items.0.headers.a | "\ud800"         |
      | trainer's batch | items             | endlessly nested |
      | frame           | protocol          | huge             |
      | frame           | protocol          | decimal          |
      | frame           | name              | nested           |
      | frame           | name              | cyclic           |

  Scenario Outline: A key that is no text hides no other key of its topic
    # Guards against a list of servers that is never read again because of one key.
    Given a store whose list of keys contains <key> between two sound ones
    Then both sound keys are read

    Examples:
      | key              |
      | "\udcff"         |
      | null             |
      | huge             |
      | {}               |

  Scenario: A page with no key that is a text is not the end of the list
    # Guards against servers that count as removed because the pages after such a page are not read.
    Given a store whose page of keys contains only half of a pair, and more follow
    Then the list of keys is an error

  Scenario: A failure while one record is applied is logged, and the records after it are followed
    # Guards against a fault of our own that stops a follower for ever.
    Given a follower whose sink fails on the record of one key
    When that record and later another one arrive
    Then the later one is followed, the failure is logged, and the failed key counts as deleted

  Scenario: A front runs batches although each of its topics has an odd record
    # Guards against batches that are accepted and never listed.
    Given the platform's stand-in and the front program
    When another writer leaves an odd record in each topic of the front
    Then a batch of 3 items is accepted, listed with scores, read again, ended
    And no task of the front has failed

  Scenario: A front serves on, and follows the list, while another writer leaves odd entries in it
    # Guards against processes that end again and again, or are lost, because of one entry.
    Given the platform's stand-in and the front program
    When another writer leaves odd entries among those of the servers, beside each sound one
    And a sound server registers later and the earlier one leaves
    Then calls are answered by the later server, and the front has run all the time
    And no task of the front has failed
    And a front that starts now serves too
