Feature: The front program loads what it uses and nothing more
  Its memory is paid for on every host. Most of it is libraries, and each import that nobody needs stays for as long as the program runs.

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
