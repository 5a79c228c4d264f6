Feature: Usage is reported exactly once for each window, by whichever process holds the lease
  Processes a, b and c share a log. Windows last 5 s and are due 10 s after their end. In a script, 5s
  lets 5 seconds pass, and a.begin=red*3 sends three requests of organisation red from process a.

  Scenario Outline: A window is reported in time, with all requests that started in it
    # Guards against missing or duplicate counts when the log, the platform or the lease holder fails.
    Given the processes a b c that report usage
    When they do <script>
    Then window 0 was reported with <counts> in time
    And no window was reported with two counts
    And no two processes reported within the gap, and fencing tokens only grew

    Examples: the path of the counts
      | script                                                           | counts        |
      | 20s                                                              | nothing       |
      | a.begin=red*3 20s                                                | red=3         |
      | a.begin=red*3 b.begin=red*2 c.begin=blue*1 20s                   | blue=1 red=5  |
      | a.begin=red*1 4s a.begin=red*1 2s a.begin=red*5 20s              | red=2         |
      | a.begin=red*3 a.undo=red*1 20s                                   | red=2         |
      | a.begin=red*1 a.undo=red*1 20s                                   | nothing       |
      | a.begin=red*3 1s a.undo=red*3 20s                                | nothing       |
      | a.lost a.begin=red*3 20s                                         | red=3         |
      | a.lost3 a.begin=red*3 20s                                        | red=3         |
      | a.late a.begin=red*3 2s late 20s                                 | red=3         |
      | a.late a.begin=red*3 1s a.begin=red*1 1s late 20s                | red=4         |
      | b.down b.begin=red*3 6s b.up 20s                                 | red=3         |
      | a.down b.down c.down a.begin=red*3 7s a.up b.up c.up 20s         | red=3         |
      | garbage a.begin=red*3 20s                                        | red=3         |
      | a.down b.down c.down 4.8s c.begin=red*3 0.3s a.up b.up 0.5s c.up 20s | red=3     |

    Examples: what happens to the holder
      | script                                                           | counts        |
      | b.begin=red*3 6s a.kill 20s                                      | red=3         |
      | b.begin=red*3 7s a.kill 20s                                      | red=3         |
      | b.begin=red*3 6s a.kill 1s a.start 20s                           | red=3         |
      | b.begin=red*3 6s a.leave 20s                                     | red=3         |
      | b.begin=red*3 6s a.down 20s                                      | red=3         |
      | b.begin=red*3 6s a.freeze 9s a.thaw 20s                          | red=3         |
      | b.begin=red*3 6s a.down b.down c.down 5s owner.b a.up b.up c.up 20s | red=3      |
      | a.dies-sending b.begin=red*3 20s                                 | red=3         |
      | a.stalls-sending b.begin=red*3 8.3s a.freeze 12s a.arrive 20s     | red=3         |
      | b.begin=red*3 1s a.kill b.kill c.kill 2s a.start b.start 20s     | red=3         |
      | b.begin=red*3 6s a.kill b.kill c.kill 2s b.start c.start 20s     | red=3         |

    Examples: what the platform does
      | script                                                           | counts        |
      | platform.lost b.begin=red*3 20s                                  | red=3         |
      | platform.down b.begin=red*3 9s platform.up 20s                   | red=3         |
      | platform.lost b.begin=red*3 7.2s a.kill 20s                      | red=3         |

  Scenario: A window that could not be reported in time is reported after the log's outage
    # Guards against usage that is never billed after an outage.
    Given the processes a b c that report usage
    When they do b.begin=red*3 1s a.down b.down c.down 25s a.up b.up c.up 12s
    Then window 0 was reported with red=3

  Scenario Outline: Only requests that a server may have started are counted
    # Guards against organisations billed for requests that no server ran.
    Given one server that <behaves>
    When an idempotent call of red is sent to it
    Then <count> requests of red are counted

    Examples:
      | behaves | count |
      | ok      | 1     |
      | fails   | 1     |
      | lost    | 1     |
      | full    | 0     |
      | other   | 0     |
      | refuses | 0     |

  Scenario: The number of windows with counts that were not reported is bounded
    # Guards against memory that grows while the log is unavailable.
    Given a usage counter whose counts nobody takes
    When requests start in 500 windows
    Then the counts of the newest 64 windows are kept

  Scenario Outline: Usage records that can't be decoded are rejected
    # Guards against reports that stop at bytes that can't be decoded.
    Then a usage record of the bytes <content> can't be read

    Examples:
      | content         |
      |                 |
      | ff              |
      | 80              |
      | 8109            |
      | 8401626161      |
      | 83026178a0      |
      | 830205a16172f6  |

  Scenario: The program reports to the platform, in its node's name and with a fencing token
    # Guards against a deployed program that does not report usage.
    Given the front program with windows of 1 s, and the organisations red and blue
    When 3 calls of red are answered
    Then the platform is told of 3 requests of red, and of idle windows, each window once
