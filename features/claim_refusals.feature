Feature: A key is not said to be unrun while another entry may run it
  Entry a claims the four attempts that one call may make, and the claimed sidecar refuses each.

  Scenario Outline: The refusal of the last attempt stands only if no other entry goes on with the key
    # Guards against "not run" for a key that runs: another entry, which the caller asked as well,
    # claims the next attempt with the same proof while entry a gives up.
    Given an entry whose four attempts of a key are refused
    When the last one is refused and another entry <meanwhile>
    Then the caller of the first entry is answered <outcome>

    Examples:
      | meanwhile                                   | outcome |
      | does nothing                                | not-run |
      | claims the next attempt                     | unknown |
      | may have a sidecar that this entry can't ask | unknown |
      | has had the key run                         | done    |
