Feature: Requests that wait at a sidecar for an entry that has gone
  An entry that gets no answer closes its link and has the requests made elsewhere.

  Scenario Outline: What waits begins only for an entry that is still there
    # A sidecar is paused, its entry closes the link and resumes the requests elsewhere; the sidecar
    # goes on, its slots come free, and before it has read that the link is closed it begins with
    # what waited. Nobody can get those answers, and the slots are missed by others.
    Given a sidecar whose only slot is busy with a request, and a second one that waits
    And the sidecar is slow to read what else came over the link
    When <happening> and the slot comes free
    Then <begun> requests have been begun

    Examples:
      | happening                  | begun |
      | the entry closes the link  | 1     |
      | the entry keeps the link   | 2     |
