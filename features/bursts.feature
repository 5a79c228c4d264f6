Feature: An organisation that asks for many times its usual does not starve the others
  An entry has 24 places; a request holds one while it runs, others wait in turn for 0.8 s at most.

  Scenario Outline: The others are served as if it were not there
    # Guards against callers of all organisations timing out behind the burst of one.
    Given an entry with 24 places whose requests take <ms> ms
    When <count> organisations ask 5 times a second and one of them <times> times as often
    Then each of the others is served at least <percent> percent of what it is without that one
    And without shares some of them are served less than <percent> percent of it

    Examples:
      | ms  | count | times | percent |
      | 200 | 11    | 20    | 95      |
      | 200 | 11    | 100   | 95      |
      | 200 | 16    | 50    | 95      |
      | 60  | 41    | 100   | 95      |

  Scenario Outline: A place is denied only while places are short
    # Guards against places that stay empty because of the shares.
    Given an entry with 24 places
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
