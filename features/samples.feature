Feature: Samples are labelled truthfully
  A sample names the weight versions that made it, as its engine stated them, or it is thrown away.

  Scenario Outline: A label follows from the pieces of a sample
    When a sample resumed from <resumed> is made of the pieces <pieces>
    And its engine read <before> before and <after> after, with <orders> order open
    Then the sample's label is <label>

    Examples: all pieces stated
      | resumed | pieces          | before  | after   | orders | label         |
      | nothing | 7/3             | nothing | nothing | an     | 7/3           |
      | nothing | 7/3 7/2         | nothing | nothing | an     | 7/5           |
      | nothing | 7/3 8/2 8/1     | 7       | 8       | an     | 7/3 8/3       |
      | nothing | 8/3 7/2 8/1     | nothing | nothing | an     | 8/3 7/2 8/1   |
      | nothing | 7/3 ?/0 7/0 7/1 | nothing | nothing | an     | 7/4           |
      | 6/4     | 7/3             | nothing | nothing | an     | 6/4 7/3       |
      | 6/4 7/1 | 7/3             | nothing | nothing | an     | 6/4 7/4       |

    Examples: unstated pieces that can be settled
      | resumed | pieces      | before | after | orders | label   |
      | nothing | ?/3         | 7      | 7     | no     | 7/3     |
      | nothing | 7/3 ?/2 7/1 | 7      | 7     | no     | 7/6     |
      | 6/4     | ?/3         | 7      | 7     | no     | 6/4 7/3 |

    Examples: labels that can't be known
      | resumed | pieces   | before  | after   | orders | label         |
      | nothing | 7/3 ?/1  | nothing | nothing | no     | unstated      |
      | nothing | ?/3      | 7       | nothing | no     | unstated      |
      | nothing | ?/3      | nothing | 7       | no     | unstated      |
      | nothing | ?/3      | 7       | 8       | no     | unsettled     |
      | nothing | ?/3      | 7       | 7       | an     | unsettled     |
      | nothing | 6/3 ?/1  | 7       | 7       | no     | contradiction |
      | nothing | 7/-1 7/9 | 7       | 7       | no     | contradiction |
      | nothing | -7/3     | 7       | 7       | no     | contradiction |
      | nothing | 7/0      | 7       | 7       | no     | empty         |
