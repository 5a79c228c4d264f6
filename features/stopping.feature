Feature: Every planned stop is graceful and cuts no request in progress

  Scenario Outline: A process is told to stop while work is in progress
    # Callers and the trainer notice nothing. The process is told to stop while it runs their
    # requests; it finishes what runs, what waits is taken elsewhere, and calls that are made
    # meanwhile, at the entry that stops too, are answered.
    Given a deployment to stop parts of
    And at the time of the stop <work>
    When the <process> with a part in it is told to stop
    Then 6 calls made during the stop are done
    When what was in progress at the stop goes on
    Then all answers in progress at the stop come whole
    And the stopped process has ended with exit code 0

    Examples:
      | process | work                      |
      | sidecar | a charge runs             |
      | entry   | a charge runs             |
      | sidecar | a look-up runs            |
      | entry   | a look-up runs            |
      | sidecar | a draft is streamed       |
      | entry   | a draft is streamed       |
      | sidecar | a pull waits              |
      | entry   | a pull waits              |
      | sidecar | a step is half collected  |
      | entry   | a step is half collected  |

  Scenario Outline: A process is told to stop while nothing new can begin
    # As above, but that no call can be made meanwhile: every slot is held, or the log hangs.
    Given a deployment to stop parts of
    And at the time of the stop <work>
    When the <process> with a part in it is told to stop
    And what was in progress at the stop goes on
    Then all answers in progress at the stop come whole
    And the stopped process has ended with exit code 0

    Examples:
      | process | work                      |
      | sidecar | calls wait for a slot     |
      | entry   | calls wait for a slot     |
      | sidecar | a claim is being appended |
      | entry   | a claim is being appended |
      | sidecar | the log hangs             |
      | entry   | the log hangs             |
