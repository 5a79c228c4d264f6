Feature: Ablation of mechanisms
  Ablation disables a mechanism by replacing a source text, which must occur exactly once.

  Scenario: The source text of each mechanism is found in its file
    # Guards against moved or reworded source, with which the study stops before its first play.
    Then every source text that the ablation replaces occurs once in its file
