Feature: Texts of several trainers at shared engines
  Simulated time. Three runners send a step each at the same time, the longest predicted text first. An engine runs 6 texts at once and
  queues 18 more. A few texts in a hundred run for seconds; the predicted lengths are often far off.

  Scenario Outline: No engine is idle while texts wait at another one
    # Guards against texts that wait in the queues of full engines while others have free slots.
    Given <engines> engines, of which <loading> load weights for the first <seconds> s
    When 3 runners send steps of <texts> texts each
    Then all steps are complete at most 0.1 s later than with one queue for all engines

    Examples:
      | engines | loading | seconds | texts |
      | 19      | 0       | 0       | 88    |
      | 19      | 6       | 0.9     | 88    |
      | 19      | 6       | 2.8     | 88    |
      | 19      | 9       | 0.9     | 88    |
      | 19      | 6       | 0.9     | 40    |
      | 150     | 50      | 0.9     | 700   |

  Scenario Outline: The longest texts run at the fastest engines
    # Guards against steps that end late because their longest text runs at a slow engine.
    Given <engines> engines, of which <slow> are <slower> times slower, and exact predictions
    When 3 runners send steps of <texts> texts each, after a step that showed the engines' speeds
    Then all steps are complete at most 0.5 s later than if each text ran where it ends first

    Examples:
      | engines | slow | slower | texts |
      | 19      | 6    | 1.3    | 88    |
      | 19      | 6    | 1.3    | 40    |
      | 19      | 9    | 2      | 88    |
      | 150     | 50   | 1.3    | 700   |
