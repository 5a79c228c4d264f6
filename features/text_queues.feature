Feature: Texts of several trainers at engines that they share
  Simulated time. Three runners hand out a step each at the same moment, the longest guess first; an engine runs 6 texts at once and
  queues 18 more. A few texts in a hundred run for seconds, the guesses of their length are often far off.

  Scenario Outline: No engine stands idle while texts wait at another one
    # Guards against texts that wait in the queues of full engines while others have free slots.
    Given <engines> engines, of which <loading> load weights for the first <seconds> s
    When 3 runners hand out steps of <texts> texts each
    Then all are whole 0.1 s later at most than from one queue before all engines

    Examples:
      | engines | loading | seconds | texts |
      | 19      | 0       | 0       | 88    |
      | 19      | 6       | 0.9     | 88    |
      | 19      | 6       | 2.8     | 88    |
      | 19      | 9       | 0.9     | 88    |
      | 19      | 6       | 0.9     | 40    |
      | 150     | 50      | 0.9     | 700   |

  Scenario Outline: The longest texts run at the fastest engines
    # Guards against steps that end late since their longest text runs at a slow engine.
    Given <engines> engines, of which <slow> are <slower> times slower, and guesses that hold
    When 3 runners hand out steps of <texts> texts each, once they know the engines
    Then all are whole 0.5 s later at most than if each went where it ends first

    Examples:
      | engines | slow | slower | texts |
      | 19      | 6    | 1.3    | 88    |
      | 19      | 6    | 1.3    | 40    |
      | 19      | 9    | 2      | 88    |
      | 150     | 50   | 1.3    | 700   |
