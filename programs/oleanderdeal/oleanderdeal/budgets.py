"""How much of a caller's time a sidecar is given."""

from oleander_base import clock

_RETURN_DIVISOR = 20
"""One part in so many of the time left is kept for the answer's way back."""
_MAX_RETURN_MS = 100


def compute_budget_ms(deadline: clock.Deadline) -> int:
    """
    Return the milliseconds that a sidecar may take, less than those that are left.

    With all of them, work that ended just in time was answered just too late, and a refusal of
    work that had expired in a queue came after its entry had given up: its caller heard
    "unknown" of what never ran. Too small a part only brings that back now and then.
    """
    remaining_ms = deadline.remaining_ms
    return remaining_ms - min(_MAX_RETURN_MS, remaining_ms // _RETURN_DIVISOR)
