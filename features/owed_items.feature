Feature: Items under which servers ended are still owed
  An item is sound; its servers end for other reasons. The platform takes an item of a step for lost that was at no server for 5 s.

  Scenario Outline: An item is sent to a server within seconds, however many ended under it
    # Guards against an item that is barred for minutes, or for ever, because servers ended in a burst
    # while they ran it. Time is simulated.
    Given a runner with a free engine and an item in a step of <items> items
    When <crashes> engines end under it after <events> events each, every <pause> s
    Then it was never at no engine for more than 5 s while one was free

    Examples:
      | items | crashes | events | pause |
      | 1     | 3       | 0      | 0.4   |
      | 1     | 10      | 0      | 0.4   |
      | 1     | 10      | 1      | 0.4   |
      | 12    | 10      | 0      | 0.4   |
      | 12    | 10      | 1      | 0.4   |
      | 1     | 40      | 0      | 0.4   |
      | 1     | 10      | 0      | 10.0  |

  Scenario Outline: An item is completed within seconds after ten servers ended under it
    # The same with front programs as processes. A step that begins again elsewhere, or a later one with
    # the same item, must not inherit that it was running at these servers.
    Given three programs, and ten <servers> that end under an item's <part>
    When a batch of 4 items is submitted, one of them unlucky in its <part>
    And ten servers have ended, and <then>
    Then within 6 seconds of that the item is completed

    Examples:
      | servers  | part    | then                                |
      | engines  | prompt  | all is calm                         |
      | services | scoring | all is calm                         |
      | engines  | prompt  | the program that runs it is killed  |
      | engines  | prompt  | its step is submitted again         |
