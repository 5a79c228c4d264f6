Feature: A planned stop cuts no request in progress

  Scenario Outline: A process is told to stop while work is in progress
    # The process is told to stop while it handles requests. It finishes running requests, queued ones
    # are sent elsewhere, and calls made during the stop are answered, also at a stopping entry.
    # Callers and the trainer see no error.
    Given a deployment to stop parts of
    And at the time of the stop <work>
    When the <process> involved in it is told to stop
    Then 6 calls made during the stop are done
    When the work in progress at the stop continues
    Then all answers in progress at the stop are complete
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

  Scenario Outline: A process is told to stop while no new call can start
    # As above, but without calls during the stop, since every slot is held or the log hangs.
    Given a deployment to stop parts of
    And at the time of the stop <work>
    When the <process> involved in it is told to stop
    And the work in progress at the stop continues
    Then all answers in progress at the stop are complete
    And the stopped process has ended with exit code 0

    Examples:
      | process | work                      |
      | sidecar | calls wait for a slot     |
      | entry   | calls wait for a slot     |
      | sidecar | a claim is being appended |
      | entry   | a claim is being appended |
      | sidecar | the log hangs             |
      | entry   | the log hangs             |
