Feature: A trainer that gives up on an entry moves to another one
  The first entry is alive and still collects the step: its answers are late, or lost on the way.

  Scenario: The logs show which entries collected a step
    # Guards against repeated work that no log line explains.
    Given a samples deployment
    When the samples of trainer near have reached stage put
    And these deployment events occur: trainer-at entry-b, released
    Then trainer process trainer receives every sample of 1 steps once, not stale and correctly labelled
    And the log of entry-a says that it opened the step of trainer near
    And the log of entry-b says that it opened the step of trainer near
    And the log of entry-b says that it answered pulls of trainer near with 16 samples in total
