Feature: Access by token

  Scenario Outline: A token gives access to its own customer only, an operator's to every customer
    Given an access table of catania=one, catania=two, caroni=three, operator=boss
    Then access to <customer> with <authorization> is <result>

    Examples:
      | customer | authorization | result    |
      | catania  | Bearer one    | allowed   |
      | catania  | Bearer two    | allowed   |
      | catania  | Bearer boss   | allowed   |
      | catania  | Bearer three  | forbidden |
      | caroni   | Bearer one    | forbidden |
      | operator | Bearer one    | forbidden |
      | operator | Bearer boss   | allowed   |
      | nobody   | Bearer        | no-token  |
      | nobody   | Bearer x      | forbidden |
      | catania  | Basic one     | no-token  |
      | catania  | one           | no-token  |

  Scenario: Without configured tokens every access is forbidden
    Given an access table of nobody
    Then access to catania with Bearer one is forbidden
