Feature: A small deployment as separate processes

  Scenario Outline: A repeated request gets the same answer
    # The faults end before the request is sent, so the caller gets an ordinary answer.
    Given a small deployment with the relays link-desk-a, link-desk-b, service-desk-a, log-entry-a
    When the process <process> is killed
    And the process <process> is restarted
    And the relay <relay> is cut
    And the relay <relay> is healed
    And the entries are linked to every sidecar
    And caller first asks entry-a for charge of long with key k
    Then caller first has the answer done
    When caller second asks entry-b for charge of long with key k
    Then caller second has the answer done
    And callers first and second have the same answer
    And the services ran key k 1 times

    Examples:
      | process        | relay       |
      | entry-a        | log-entry-a |
      | desk-a         | link-desk-a |
      | desk-b-service | link-desk-b |
