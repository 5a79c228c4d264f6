Feature: An entry keeps threads free for urgent requests and for refusals

  # A request that finds no free thread waits in the server's own queue past its deadline, and is not even
  # refused. This happened when each class kept to its own limit but the sum of the limits exceeded the pool.
  Scenario Outline: Whether an entry admits one more <asked> request while others hold threads
    Given an entry's gates for 20 threads, held by <critical> critical, <interactive> interactive, <background> background and <pulls> pull requests
    Then the entry's gates <answer> one more <asked> request

    Examples:
      | critical | interactive | background | pulls | asked       | answer |
      | 0        | 6           | 6          | 0     | critical    | admit  |
      | 0        | 6           | 6          | 0     | interactive | refuse |
      | 0        | 6           | 0          | 6     | background  | refuse |
      | 0        | 0           | 6          | 0     | background  | refuse |
      | 0        | 0           | 6          | 0     | pull        | admit  |
      | 6        | 6           | 6          | 0     | critical    | refuse |
      | 6        | 12          | 0          | 0     | critical    | refuse |
      | 5        | 12          | 0          | 0     | critical    | admit  |
      | 0        | 0           | 0          | 6     | pull        | refuse |
