"""How long work will take, from how long work took, and when a slot will be free."""

_EWMA_WEIGHT = 0.1
_MIN_RATIO = 0.05
_MAX_RATIO = 20.0
_HALF_LIFE_SECONDS = 5.0


class ServiceEstimator:
    """
    Measured against predicted service time; the ratio of two moving averages.

    The ratio of averages, and not the average of ratios, since one tiny prediction that was far
    off would otherwise outweigh all others.
    """

    def __init__(self) -> None:
        self._cost_ms = 0.0
        self._service_ms = 0.0
        self._observed_at = 0.0

    def record_service(self, cost_ms: float, service_ms: float, now: float) -> None:
        """Take in one completed service."""
        weight = _EWMA_WEIGHT if self._cost_ms > 0.0 else 1.0
        self._cost_ms += weight * (cost_ms - self._cost_ms)
        self._service_ms += weight * (service_ms - self._service_ms)
        self._observed_at = now

    def compute_ratio(self, now: float) -> float:
        """
        Return by how much to multiply a predicted service time.

        A ratio above one fades while nothing completes. Without that, one slow spell could make
        every estimate pass every deadline: all work would be refused, nothing would complete, and
        the estimate would never be corrected. Fading lets work in again, which is then measured.
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
    Return how much longer running work will take.

    Work that is overdue is taken to need as long again as it is late. With nothing instead, a
    backend server that hangs would look as if it were about to become free, and work would be
    accepted for it until the queue was full.
    """
    return abs(expected_ms - elapsed_ms)


def estimate_start_ms(slots: int, remaining_ms: list[float], ahead_ms: float) -> float:
    """
    Return when new work gets a slot, after running work and the waiting work that goes first.

    The waiting work fills the slots as water would: each as soon as it is free, up to one level.
    That is exact for work in small pieces, and wrong by no more than one piece otherwise.
    """
    free_at = sorted([0.0] * max(0, slots - len(remaining_ms)) + remaining_ms)
    free_sum = 0.0
    for count, level in enumerate(free_at, start=1):
        free_sum += level
        start_ms = (ahead_ms + free_sum) / count
        if count == len(free_at) or start_ms <= free_at[count]:
            return start_ms
    return 0.0
