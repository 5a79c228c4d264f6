Feature: The front program imports only the libraries that it uses
  Libraries are most of its memory, which every host pays for, and an unneeded import is never unloaded.

  Scenario Outline: A library that the front program does not use
    Given the modules that the front program has loaded when it is ready to start
    Then <module> is not among them

    Examples:
      | module             |
      | ruamel             |
      | oleander_contracts |
      | oleander_claims    |
      | oleander_admission |
      | oleander_wire      |
      | websockets         |
      | prometheus_client  |
