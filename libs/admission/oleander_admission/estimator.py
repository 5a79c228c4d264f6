"""Estimates of service times and of when a slot becomes free."""

_EWMA_WEIGHT = 0.1
"""Weight of the newest service in the moving averages."""
_MIN_RATIO = 0.05
_MAX_RATIO = 20.0
_HALF_LIFE_SECONDS = 5.0
"""Time without a completed service after which the excess of the ratio over 1 has halved."""


class ServiceEstimator:
    """
    Tracks the ratio of measured to predicted service time.

    It is the ratio of two moving averages and not the average of ratios, in which a single tiny
    prediction that was far off would outweigh all others.
    """

    def __init__(self) -> None:
        self._cost_ms = 0.0
        self._service_ms = 0.0
        self._observed_at = 0.0

    def record_service(self, cost_ms: float, service_ms: float, now: float) -> None:
        """Update the averages with a completed service."""
        weight = _EWMA_WEIGHT if self._cost_ms > 0.0 else 1.0
        self._cost_ms += weight * (cost_ms - self._cost_ms)
        self._service_ms += weight * (service_ms - self._service_ms)
        self._observed_at = now

    def compute_ratio(self, now: float) -> float:
        """
        Return the factor from predicted to expected service time; 1 before any measurement.

        A ratio above 1 decays towards 1 while nothing completes. Without the decay, a slow period
        could push all estimates past all deadlines: all work would be refused, nothing would
        complete, and the ratio would never be corrected. With it, work is admitted and measured
        again.
        """
        if self._cost_ms <= 0.0:
            return 1.0
        ratio = min(_MAX_RATIO, max(_MIN_RATIO, self._service_ms / self._cost_ms))
        if ratio <= 1.0:
            return ratio
        idle_seconds = max(0.0, now - self._observed_at)
        return float(1.0 + (ratio - 1.0) * 0.5 ** (idle_seconds / _HALF_LIFE_SECONDS))


def estimate_remaining_ms(expected_ms: float, elapsed_ms: float) -> float:
    """
    Return the estimated time until running work ends.

    Overdue work is assumed to need as much more time as it is already overdue. If it were assumed
    to end at once, a hanging backend server would always seem about to become free, and work
    would be accepted for it until the queue was full.
    """
    return abs(expected_ms - elapsed_ms)


def estimate_start_ms(slots: int, remaining_ms: list[float], ahead_ms: float) -> float:
    """
    Return the time until new work gets a slot.

    `remaining_ms` holds the remaining time of each running work item, and `ahead_ms` the total
    service time of the waiting work that runs first. The waiting work is spread over the slots as
    they become free so that all are busy until the same time. This is exact if the work can be
    divided at will; otherwise the error is at most the service time of one work item.
    """
    free_at = sorted([0.0] * max(0, slots - len(remaining_ms)) + remaining_ms)
    free_sum = 0.0
    for count, level in enumerate(free_at, start=1):
        free_sum += level
        start_ms = (ahead_ms + free_sum) / count
        if count == len(free_at) or start_ms <= free_at[count]:
            return start_ms
    return 0.0
