Feature: A process recovers as soon as the platform's log is back
  Scenario: Results generated during an outage are written as soon as it ends
    # Guards against results that are lost with their process, or listed late, after an outage.
    Given a writer of results whose log refuses for 1.05 s
    When a result is generated meanwhile
    Then it is written within 0.1 s of the log's return, after at most 25 tries

  Scenario Outline: An outage ends while the topic has no new records
    # A process whose last contact with the platform is too old refuses its callers. Guards against long
    # polls after an outage: with no new record they are answered a second later, and until then callers
    # would be refused without need.
    Given a follower of a keyed topic that has read it to its end
    When the log <fails> for 1 s
    Then within 0.9 s of its return the follower knows that it is current
    And while nothing changes it asks no more than 4 times in 2 s

    Examples:
      | fails                 |
      | refuses               |
      | is silent             |
