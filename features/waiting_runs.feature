Feature: Requests queued at a sidecar whose entry has gone
  An entry that gets no answer closes its link and sends the requests to other sidecars.

  Scenario Outline: A queued request starts only if its entry is still connected
    # A sidecar is suspended, and its entry closes the link and resumes the requests elsewhere. When
    # the sidecar resumes and a slot becomes free, it could start a queued request before it reads that
    # the link is closed. Its answer would be lost, and the slot missing for other requests.
    Given a sidecar whose only slot is busy with a request, and a second one that waits
    And the sidecar is slow to read what else came over the link
    When <happening> and the slot comes free
    Then <begun> requests have been begun

    Examples:
      | happening                  | begun |
      | the entry closes the link  | 1     |
      | the entry keeps the link   | 2     |
