"""How much of a caller's time a sidecar is given."""

_WAY_BACK_PART = 20
"""One part in so many of the time left is kept for the answer's way back."""
_MOST_WAY_BACK_MS = 100


def compute_budget_ms(remaining_ms: int) -> int:
    """
    Return the milliseconds that a sidecar may take, of those that are left.

    With all of them, work that ended just in time was answered just too late, and a refusal of
    work that had expired in a queue came after its entry had given up: its caller heard
    "unknown" of what never ran. Too small a part only brings that back now and then.
    """
    return remaining_ms - min(_MOST_WAY_BACK_MS, remaining_ms // _WAY_BACK_PART)
