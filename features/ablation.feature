Feature: The ablation takes out what it says
  It replaces a piece of the source by one that does nothing; the piece must stand there once.

  Scenario: Each mechanism is found where the ablation looks for it
    # Guards against a mechanism that moved, so that the ablation stops before its first play.
    Then every piece that the ablation replaces stands once in its file
