Feature: A burst of one organisation does not starve the others
  An entry has 24 slots. A request uses one while it runs; others wait in order of arrival, for at most 0.8 s.

  Scenario Outline: The other organisations are served as without the burst
    # Guards against callers of all organisations timing out behind the burst of one.
    Given an entry with 24 slots whose requests take <ms> ms
    When <count> organisations send 5 requests a second and one of them <times> times as many
    Then each of the others gets at least <percent> percent of the answers that it gets without that one
    And without a fair share some of them get less than <percent> percent of these

    Examples:
      | ms  | count | times | percent |
      | 200 | 11    | 20    | 95      |
      | 200 | 11    | 100   | 95      |
      | 200 | 16    | 50    | 95      |
      | 60  | 41    | 100   | 95      |

  Scenario Outline: A slot is refused only while few slots are free
    # Guards against slots that stay unused because of the fair shares.
    Given an entry with 24 slots
    When the organisations hold <held> of them and <other> have called <seconds> s ago
    Then one more request of red is <verdict>

    Examples:
      | held          | other | seconds | verdict |
      | red=23         | none   | 0.0     | let in  |
      | red=18         | blue   | 0.0     | let in  |
      | red=19         | blue   | 0.0     | refused |
      | red=19         | blue   | 6.0     | let in  |
      | blue=18 red=5  | blue   | 0.0     | let in  |
      | red=13 blue=10 | blue   | 0.0     | refused |
      | red=10 blue=13 | blue   | 0.0     | let in  |
