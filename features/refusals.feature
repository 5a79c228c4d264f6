Feature: What a runner hands to servers that refuse
  Simulated time. Each of 4 servers runs 12 texts at once and queues as many more, each for a second; while it loads weights it goes on
  with what it runs and refuses all else. A runner hands out what the windows allow, and what was refused again.

  Scenario Outline: A server that loads weights is tried with one text at a time
    # Nothing waits at a loading server, so it looks the least loaded of all, and every text that
    # waits for a place is sent there: some eleven at a time, six times a second. Each is refused,
    # takes a connection, and is then late for a place that gets free at another server.
    # Tried too seldom the server would stand idle once it has loaded, and a slow load is no other.
    Given a runner with <texts> texts before 4 servers
    When <loading> of them load weights for <seconds> s
    Then a server that loads refuses at most <most> trials
    And a server that has loaded and has a place gets work within <idle> s, and is full within another 0.1 s

    Examples:
      | texts | loading | seconds | most | idle |
      | 200   | 1       | 0.3     | 28   | 0.2  |
      | 200   | 2       | 0.9     | 32   | 0.3  |
      | 200   | 2       | 2.8     | 38   | 0.6  |
      | 200   | 4       | 0.9     | 32   | 0.3  |
      | 400   | 2       | 8.0     | 60   | 0.6  |

  Scenario: A server that refuses for ever is tried a few times a second
    # It holds up nobody: the others take the work. Tried in a tight loop it costs connections.
    Given a runner with 2000 texts before 4 servers
    When 1 of them load weights for 40 s
    Then a server that loads refuses at most 140 trials
    And texts were done at no less than 0.99 of what the others can do

  Scenario Outline: What ends at a loading server says nothing of its load
    # Texts that it ran before go on and end. Taken for a sign that it takes work, each end would
    # send it a window of texts, all refused.
    Given a router with the peers p1 p2
    When p1 refuses a windowed request after a long one began
    And the long one ends well
    Then p1 takes no windowed request yet
    When a trial after 0.5 s <is taken> there
    Then p1 takes windowed requests again

    Examples:
      | is taken             |
      | begins               |
      | is not refused       |

  Scenario Outline: A refusal from before a pause says little of the next step
    # A step is over before a server that refused was tried again. The next begins with one trial
    # there, at the moment when weights load anew; all else is queued at the other servers, and the
    # server stands idle for that step too. One that refuses for longer is believed for longer.
    Given 4 servers of 12 slots, of which one refused 16 texts at once and then trials for <refused> s
    When a step of 48 texts is handed out <pause> s later
    Then that server is given <least> to <most> of them

    Examples:
      | refused | pause | least | most |
      | 0       | 0.05  | 0     | 0    |
      | 0       | 0.5   | 1     | 1    |
      | 0       | 1.2   | 10    | 14   |
      | 0       | 3.8   | 10    | 14   |
      | 2.8     | 1.2   | 1     | 1    |
      | 2.8     | 3.8   | 10    | 14   |
      | 20      | 3.8   | 1     | 1    |

  Scenario: A server that was slow has its part of batches again
    # A slow server is ejected. Texts that can wait are given to the others, none of them ever asks
    # whether it is slow still, and a fourth of the engines is lost to that process for the day.
    Given 4 servers of 12 slots, of which one is ejected for being slow
    When steps of 48 texts are handed out each 4 s for 40 s, and all are done at the same speed
    Then that server is given 10 to 14 of the last step's
    And it was given 2 at most in the first

  Scenario: A server that refuses has no spare place
    # Guards against texts that are cancelled where they run and then refused by one loading server after another.
    Given a router with the peers p1 p2
    When p1 refuses a windowed request after a long one began
    Then only p2 has a spare place
    When a trial after 0.5 s begins there
    And the long one ends well
    Then p1 and p2 have spare places
