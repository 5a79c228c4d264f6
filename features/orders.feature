Feature: One holder at a time orders backend servers
  Time is simulated. Holders are named by letters; the gap between two of them is 3 s.
  A script is read word by word: a+ lets a try, a? checks that a may order, a! that it may not, 2s waits,
  a.restart starts a's process anew on its host, a.down cuts a off from the log, a.up joins it again, a.release gives the right up, a.lost lets
  a's next append take effect without an answer, a.late lets it take effect at `late`.

  Scenario Outline: Orders of two holders never come within the gap
    # A server would get orders from two holders in turn, or an older one after a newer, and load
    # weights back and forth. It happens when a holder is suspended, cut off or replaced while it
    # believes in its right, or when its append takes effect after it gave up on the answer.
    # Here every order that anyone may give is noted; each must be far enough from the others'.
    Given the order holders a b c
    When the holders do <script>
    Then no two holders could order within the gap
    And fencing numbers only grew with the holders

    Examples:
      | script |
      | a+ a? b+ b! 1s a+ a? b+ b! |
      | a+ a? 3s a! b+ b! 4s b+ b! 3s b+ b? a! |
      | a+ b+ 9s b+ b? a! a+ a! 1s b+ b? |
      | a+ a? 2s a.down a+ 1s a! b+ b! 4s b+ b! 3s b+ b? a.up a+ a! |
      | a+ a.release a! b+ b! 3s b+ b! 1s b+ b? |
      | a.lost a+ a! 1s a+ a? b+ b! 7s a! b+ b? a+ a! |
      | a+ a? b+ 1s a.late a+ a? 2s a! b+ 4s b+ b? late a+ a! b+ b? |
      | a+ a? b+ 1s a.late a+ 2s late a! b+ b! 3s b+ b! 4s b+ b? |
      | a+ b+ c+ 7s b+ b? c+ c! 1s b+ b? c+ 3s c! 4s c+ c? b! |
      | a.late a+ a! b+ b? late b+ b? a+ a! |
      | a+ a? b+ a.restart a! a+ a? b+ b! 1s a+ a? |
      | a+ a? a.restart b+ b! 9s b+ b? a+ a! |
      | a+ a? b+ 7s b+ b? a.restart a+ a! b+ b? |

  Scenario: A new process does not order until it has read that nobody holds the right
    # All processes restart at once. The log names a holder that may live; only its silence for
    # a whole term and the gap, seen by the new process itself, says that it does not.
    Given the order holders a b
    When the holders do a+ a? b.down b+ b! 9s b+ b! b.up b+ b! 2s b+ b! 4s b+ b?
    Then no two holders could order within the gap

  Scenario Outline: Servers are ordered in turns, and once
    # Weights load for a second, in which a server takes no new work for that model. Ordering all
    # at once would leave nobody to serve it; ordering again what is on its way costs another load.
    # Several processes have rights to some servers each and must come to the same waves.
    Given the engines <engines> and the named versions <named>
    When orders are planned <times> times, <seconds> s after they were named, for <rights>
    Then the planned orders are <count> to <among>

    Examples:
      | engines                       | named | times | seconds | rights | count | among       |
      | s1=1 s2=1 s3=1 s4=1           | m=2   | 1     | 0       | all    | 2     | s1 s2 s3 s4 |
      | s1=1 s2=1 s3=1 s4=1           | m=2   | 3     | 0       | all    | 2     | s1 s2 s3 s4 |
      | s1=1 s2=1 s3=1 s4=1           | m=2   | 1     | 1.3     | all    | 4     | s1 s2 s3 s4 |
      | s1=1 s2=1 s3=1 s4=1           | m=2   | 1     | 1.3     | s1     | 1     | s1          |
      | s1=2 s2=2 s3=1 s4=1           | m=2   | 1     | 0       | all    | 2     | s3 s4       |
      | s1=1 s2=1 s3=1 s4=1 s5=1 s6=1 s7=1 s8=1 s9=1 | m=2 | 1 | 0 | all | 3 | s1 s2 s3 s4 s5 s6 s7 s8 s9 |
      | s1=2 s2=3                     | m=2   | 1     | 9       | all    | 0     | none        |
      | s1=1 s2=3                     | m=5   | 1     | 0       | all    | 2     | s1 s2       |
      | s1=1                          | n=9   | 1     | 9       | all    | 0     | none        |
      | s1=1                          | m=2   | 1     | 9       | none   | 0     | none        |

  Scenario Outline: No model waits for ever behind the others
    # Versions of several models come about as fast as one server loads them. Taken in a fixed order
    # the last model would stay behind, and its trainer would have no server that is new enough.
    Given an engine with the models <has> and the named models <named>
    Then it is ordered to load <model> first

    Examples:
      | has         | named             | model |
      | a=4 b=4 c=4 | a=5@9 b=5@8 c=5@7 | c     |
      | a=4 b=4 c=3 | a=5@1 b=5@2 c=5@9 | c     |
      | a=4 b=4 c=4 | a=5@1 b=5@2 c=4@0 | a     |

  Scenario Outline: Where loads can't keep up, each server leaves out every second version
    # The weight store slows down when more than a few load. All servers then lag by two versions,
    # and each step waits for one that is new enough. Half of them stay usable if they take turns;
    # they may not where a trainer's steps allow the newest version only.
    Given 4 engines and 3 models whose versions come every <seconds> s and steps allow <lag> behind
    When 8 versions of each model were named and loaded
    Then each server loaded <loads> of them
    And whenever a version was named, <usable> servers or more could go on at once

    Examples:
      | seconds | lag | loads | usable |
      | 30      | 1   | 8 8   | 4      |
      | 3       | 1   | 4 5   | 2      |
      | 3       | 0   | 8 8   | 0      |

  Scenario Outline: Where loads can't keep up, servers are shared out among the models
    # Each server stands still while it loads, for each model in turn. Servers that load for all
    # trainers spend a third of their time on it, also where each leaves out every second version.
    # One that is lost must not make half of the others change theirs: they would all load at once.
    Given <servers> servers that <models> models share
    Then each model has <least> to <most> servers, and each server <room> models at most
    And of those that stay, <moved> at most change a model when one server is lost

    Examples:
      | servers | models | least | most | room | moved |
      | 23      | 3      | 15    | 16   | 2    | 11    |
      | 30      | 4      | 15    | 15   | 2    | 15    |
      | 12      | 3      | 8     | 8    | 2    | 6     |
      | 5       | 3      | 4     | 4    | 3    | 3     |
      | 4       | 3      | 4     | 4    | 3    | 0     |
      | 4       | 1      | 4     | 4    | 1    | 0     |
      | 2       | 3      | 2     | 2    | 3    | 0     |
      | 1       | 9      | 1     | 1    | 9    | 0     |

  Scenario Outline: Weights that ended servers are tried on one of those that are to load them
    # Guards against a trial left to a server that skips the version or is not of the model, so that none ever loads it.
    Given <servers> engines and 3 models whose versions come every <every> s and steps allow <lag> behind
    When 8 versions of each model were named and loaded
    Then each of 6 further versions of model a that ended servers is ordered to one server

    Examples:
      | servers | every | lag |
      | 4       | 4     | 1   |
      | 12      | 4     | 1   |
      | 12      | 30    | 1   |
      | 23      | 4     | 1   |
      | 23      | 4     | 0   |

  Scenario Outline: Whether loads keep up is known from the first one on
    # Loads take longer here than elsewhere. Until that is believed, servers are ordered to load every
    # version, half of them load at any time, and the steps of that time wait for places.
    Given versions of a model that come every 4 s
    When <loads> loads of <seconds> s each were seen
    Then 4 servers of which 2 load at once <keep up>

    Examples:
      | loads | seconds | keep up       |
      | 0     | 0       | keep up       |
      | 1     | 0.9     | keep up       |
      | 1     | 2.8     | can't keep up |
      | 5     | 2.8     | can't keep up |

  Scenario: What a server says of itself goes before the list
    # The list tells a heartbeat late. Until then the server would count as loading, and its next
    # order would wait a second longer than it must.
    Given the engines s1=1 and the named versions m=2
    When orders are planned 1 times, 0 s after they were named, for all
    And s1 says that it has version 2 of m
    And the engines are named version 3
    Then the planned orders are 2 to s1

  Scenario Outline: An order states what the server has accepted
    # An order without an answer may be carried out late, after newer ones. It names how many the
    # server had accepted, so it fails then; the next one must count what was taken meanwhile.
    Given an engine that reports 4 accepted orders
    When an order to it ends as <outcome>
    Then the next order to it states <accepted> accepted orders

    Examples:
      | outcome | accepted |
      | taken   | 5        |
      | done    | 4        |
      | refused | 4        |
      | unknown | 4        |

  Scenario Outline: Where loads take long, fewer models share a server
    # Guards against servers that lag behind all their models while steps wait for one that is new enough.
    Given 19 engines and 3 models whose versions come every 4 s
    When loads are seen to take <load> s
    Then <each> models share a server at most
    When loads are seen to take <then> s
    Then <after> models share a server at most

    Examples:
      | load | each | then | after |
      | 0.2  | 3    | 0.9  | 2     |
      | 0.9  | 2    | 1.5  | 2     |
      | 0.9  | 2    | 2.8  | 1     |
      | 2.8  | 1    | 1.5  | 1     |
      | 2.8  | 1    | 0.9  | 2     |
