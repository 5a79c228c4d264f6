"""Whether every server can load every version, measured from names and loads as they come."""

from oleander_base import clock
from oleander_orders import placement

_AVERAGE_WEIGHT = 0.3
"""Of the newest value in a moving average."""
_DEFAULT_LOAD_SECONDS = 1.0
"""Used until the first load was seen, and not averaged with it."""
_MAX_UTILIZATION = 0.8
"""The part of the weight store's pace that loads may need before some are left out."""
_SINGLE_MODEL_RATIO = 1.25
"""With time for the loads of fewer models a server is left to one model."""
_SHARED_RATIO = 1.8
"""With time for the loads of more models it is shared again; in between nothing changes."""


class LoadCapacity:
    """
    Compares the loads that are wanted with those that can run; used by one thread.

    A weight store slows down when more than a few servers load at once. Where more loads are
    wanted than can run, servers lag, and steps wait for one that is new enough.
    """

    def __init__(self) -> None:
        self._load_seconds: float | None = None
        self._published_at: dict[str, float] = {}
        self._intervals: dict[str, float] = {}
        self._models_per_server = placement.MAX_MODELS_PER_SERVER

    def record_version(self, model: str, published_at: float) -> None:
        """Record when a version of a model was named; repeated calls change nothing."""
        before = self._published_at.get(model)
        if before == published_at:
            return
        self._published_at[model] = published_at
        if before is not None:
            interval = max(0.1, published_at - before)
            known = self._intervals.get(model, interval)
            self._intervals[model] = known + _AVERAGE_WEIGHT * (interval - known)

    def record_load(self, seconds: float) -> None:
        """Record how long a load took."""
        known = seconds if self._load_seconds is None else self._load_seconds
        self._load_seconds = known + _AVERAGE_WEIGHT * (seconds - known)

    def fits_wave(self, wave_seconds: float) -> bool:
        """Return whether loads are known to end within a turn."""
        return self._load_seconds is not None and self._load_seconds <= wave_seconds

    def exceeds_capacity(self, servers: int, max_loading: int) -> bool:
        """Return whether so many servers can't load each version, so many of them at once."""
        wanted = servers * self._compute_version_rate() * self._typical_load_seconds
        return wanted > _MAX_UTILIZATION * max_loading

    def choose_models_per_server(self, servers: int, max_loading: int) -> int:
        """
        Return how many models may share a server that leaves out every second version of each.

        Where loads take longer than that allows, servers lag behind all their models, and steps
        wait for one that is new enough.
        """
        models = max(1, len(self._intervals))
        loads = servers / models * self._compute_version_rate() / 2
        possible = max_loading / max(1e-9, loads * self._typical_load_seconds)
        if possible < _SINGLE_MODEL_RATIO:
            self._models_per_server = 1
        elif possible > _SHARED_RATIO:
            self._models_per_server = placement.MAX_MODELS_PER_SERVER
        return self._models_per_server

    @property
    def _typical_load_seconds(self) -> float:
        return _DEFAULT_LOAD_SECONDS if self._load_seconds is None else self._load_seconds

    def _compute_version_rate(self) -> float:
        """Return how many versions of all models are named a second."""
        now = clock.read_now()
        return sum(
            1.0 / max(interval, now - self._published_at[model])
            for model, interval in self._intervals.items()
        )
