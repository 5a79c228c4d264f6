"""Computes how much of a caller's remaining time a sidecar may use."""

from oleander_base import clock

_RETURN_DIVISOR = 20
"""The remaining time divided by this is reserved for returning the answer."""
_MAX_RETURN_MS = 100
"""Upper bound on the time reserved for returning the answer."""


def compute_budget_ms(deadline: clock.Deadline) -> int:
    """
    Return the milliseconds that a sidecar may take: those remaining, less a reserve.

    Without the reserve, answers of work that finished just in time arrived too late, and refusals
    of work that expired in a queue arrived after the entry had given up, so that callers were told
    "unknown" about requests that never ran. A reserve that is too small makes these cases
    rarer but does not prevent them.
    """
    remaining_ms = deadline.remaining_ms
    return remaining_ms - min(_MAX_RETURN_MS, remaining_ms // _RETURN_DIVISOR)
