Feature: Leases to order backend servers, and the planning of orders
  Time is simulated. Lease holders are named by letters; the gap between two of them is 3 s.
  The words of a script are: a+ lets a acquire or renew the lease, a? checks that a may order, a! that it may not,
  2s waits, a.restart restarts a's process on its host, a.down disconnects a from the log, a.up reconnects it,
  a.release releases the lease, a.lost lets a's next append take effect without an answer, a.late lets it take effect
  at the word late.

  Scenario Outline: Orders of two holders are always further apart than the gap
    # Otherwise a server would get orders from two holders alternately, or an older one after a newer
    # one, and load weights back and forth. That can happen if a holder is suspended, disconnected or
    # replaced while it believes that it holds the lease, or if its append takes effect after it gave
    # up waiting for the answer. The test records every moment at which each holder could order.
    Given the order holders a b c
    When the holders do <script>
    Then no two holders could order within the gap
    And each holder has a higher fencing token than the one before

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

  Scenario: A new process does not order until it knows from the log that the lease is free
    # All processes restart at once, and the log names a holder that may still be alive. The lease is
    # free only after the new process itself has read no record of the holder for the term and the gap.
    Given the order holders a b
    When the holders do a+ a? b.down b+ b! 9s b+ b! b.up b+ b! 2s b+ b! 4s b+ b?
    Then no two holders could order within the gap

  Scenario Outline: Servers are ordered in waves, and each only once
    # Weights load for a second, in which a server accepts no new requests for that model. So servers load
    # in groups, called waves: if all loaded at once, none could serve. Repeating an order in flight costs
    # another load. Several processes hold the leases of some servers each and must compute the same waves.
    Given the engines <engines> and the target versions <named>
    When orders are planned <times> times, <seconds> s after they were published, for <rights>
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
    # Versions of several models are published about as fast as one server loads them. In a fixed order
    # the last model would stay behind, and its trainer would have no server with recent enough weights.
    Given an engine with the models <has> and the target versions <named>
    Then it is ordered to load <model> first

    Examples:
      | has         | named             | model |
      | a=4 b=4 c=4 | a=5@9 b=5@8 c=5@7 | c     |
      | a=4 b=4 c=3 | a=5@1 b=5@2 c=5@9 | c     |
      | a=4 b=4 c=4 | a=5@1 b=5@2 c=4@0 | a     |

  Scenario Outline: If loads can't keep up, each server skips every second version
    # The weight store slows down when more than a few servers load at once. All servers would then lag
    # by two versions, and each step would wait for one with recent enough weights. Half of the servers
    # stay usable if they skip versions alternately, unless the trainer accepts the newest version only.
    Given 4 engines and 3 models whose versions come every <seconds> s and steps allow <lag> behind
    When 8 versions of each model were published and loaded
    Then each server loaded <loads> of them
    And whenever a version was published, at least <usable> servers could serve the trainer

    Examples:
      | seconds | lag | loads | usable |
      | 30      | 1   | 8 8   | 4      |
      | 3       | 1   | 4 5   | 2      |
      | 3       | 0   | 8 8   | 0      |

  Scenario Outline: If loads can't keep up, the models are distributed over the servers
    # A server serves no requests while it loads, for each of its models. Servers that load for all
    # trainers spend a third of their time on it, even if each skips every second version. The loss of
    # one server must not make half of the others change their models: they would all load at once.
    Given <servers> servers that <models> models share
    Then each model has <least> to <most> servers, and each server has at most <room> models
    And when one server is lost, the others take over at most <moved> models in all

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

  Scenario Outline: Weights that crashed servers are tried on one server that is due to load them
    # Guards against a trial on a server that skips the version or lacks the model: it would never be loaded.
    Given <servers> engines and 3 models whose versions come every <every> s and steps allow <lag> behind
    When 8 versions of each model were published and loaded
    Then each of 6 further versions of model a that ended servers is ordered to one server

    Examples:
      | servers | every | lag |
      | 4       | 4     | 1   |
      | 12      | 4     | 1   |
      | 12      | 30    | 1   |
      | 23      | 4     | 1   |
      | 23      | 4     | 0   |

  Scenario Outline: The first load is enough to tell whether loads keep up
    # If loads take longer than the default, every server is ordered to load every version until that
    # is known. Then half of the servers are loading at any time, and training steps wait for slots.
    Given versions of a model that come every 4 s
    When <loads> loads of <seconds> s each were observed
    Then 4 servers of which 2 load at once <keep up>

    Examples:
      | loads | seconds | keep up       |
      | 0     | 0       | keep up       |
      | 1     | 0.9     | keep up       |
      | 1     | 2.8     | can't keep up |
      | 5     | 2.8     | can't keep up |

  Scenario: A server's own report takes precedence over the server list
    # The list shows a load a heartbeat late. Until then the server would count as loading, and its
    # next order would wait a second longer than necessary.
    Given the engines s1=1 and the target versions m=2
    When orders are planned 1 times, 0 s after they were published, for all
    And s1 reports that it has version 2 of m
    And version 3 is published
    Then the planned orders are 2 to s1

  Scenario Outline: An order states how many orders the server has accepted before
    # An order that was not answered may arrive late, after newer ones. Since it states the number of
    # orders that the server had accepted, it then fails. The next order must count those accepted since.
    Given an engine that reports 4 accepted orders
    When an order to it ends as <outcome>
    Then the next order to it states <accepted> accepted orders

    Examples:
      | outcome | accepted |
      | taken   | 5        |
      | done    | 4        |
      | refused | 4        |
      | unknown | 4        |

  Scenario Outline: If loads take long, fewer models share a server
    # Guards against servers that lag behind with all their models while steps wait for recent enough weights.
    Given 19 engines and 3 models whose versions come every 4 s
    When loads are observed to take <load> s
    Then at most <each> models share a server
    When loads are observed to take <then> s
    Then at most <after> models share a server

    Examples:
      | load | each | then | after |
      | 0.2  | 3    | 0.9  | 2     |
      | 0.9  | 2    | 1.5  | 2     |
      | 0.9  | 2    | 2.8  | 1     |
      | 2.8  | 1    | 1.5  | 1     |
      | 2.8  | 1    | 0.9  | 2     |
