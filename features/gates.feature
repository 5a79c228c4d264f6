Feature: Threads and time of an entry are kept free for urgent work and for answers

  # A caller whose request finds no thread waits unseen, past its deadline, and is refused by nobody.
  # That happened once every thread was held: each class kept to its bound, and their sum did not.
  Scenario Outline: An entry's gates admit <asked> while others hold threads
    Given an entry's gates for 20 threads, held by <critical> critical, <interactive> interactive, <background> background and <pulls> pulls
    Then the entry's gates <answer> one more <asked>

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

  # A sidecar that is given all the time left ends its work just in time and is answered just late.
  Scenario Outline: A sidecar is given less than the <left> ms that its entry has left
    Then an entry with <left> ms left gives a sidecar <budget> ms

    Examples:
      | left   | budget |
      | 2000   | 1900   |
      | 1000   | 950    |
      | 600000 | 599900 |
      | 5      | 5      |
      | 0      | 0      |
