"""
Estimates whether servers can load every published version, from measured rates and times.

A wave is a group of servers that may load a model at the same time, see `plan`.
"""

from oleander_base import clock
from oleander_orders import placement

_AVERAGE_WEIGHT = 0.3
"""The weight of the newest value in exponential moving averages."""
_DEFAULT_LOAD_SECONDS = 1.0
"""The load time assumed until the first load ends; it is not part of the average."""
_MAX_UTILIZATION = 0.8
"""The fraction of the loading capacity that may be needed before servers skip versions."""
_SINGLE_MODEL_RATIO = 1.25
"""
Below this ratio of possible to wanted loads, each server is assigned to a single model.

The ratio is computed for one model per server, every second version of which is skipped.
"""
_SHARED_RATIO = 1.8
"""Above this ratio models share servers again; between both, nothing changes (hysteresis)."""


class LoadCapacity:
    """
    Compares the rate of wanted loads with the rate of possible loads; not thread-safe.

    A weight store slows down when more than a few servers load at once. If more loads are wanted
    than can run, servers lag behind, and training steps wait for a server with weights that are
    recent enough.
    """

    def __init__(self) -> None:
        self._load_seconds: float | None = None
        self._published_at: dict[str, float] = {}
        self._intervals: dict[str, float] = {}
        self._models_per_server = placement.MAX_MODELS_PER_SERVER

    def record_version(self, model: str, published_at: float) -> None:
        """Record when a model's newest version was published; repeated calls change nothing."""
        before = self._published_at.get(model)
        if before == published_at:
            return
        self._published_at[model] = published_at
        if before is not None:
            interval = max(0.1, published_at - before)
            known = self._intervals.get(model, interval)
            self._intervals[model] = known + _AVERAGE_WEIGHT * (interval - known)

    def record_load(self, seconds: float) -> None:
        """Record the duration of a load."""
        known = seconds if self._load_seconds is None else self._load_seconds
        self._load_seconds = known + _AVERAGE_WEIGHT * (seconds - known)

    def fits_wave(self, wave_seconds: float) -> bool:
        """Return whether the mean load time is at most `wave_seconds`; False before any load."""
        return self._load_seconds is not None and self._load_seconds <= wave_seconds

    def exceeds_capacity(self, servers: int, max_loading: int) -> bool:
        """Return whether servers can't load every version with `max_loading` loads at once."""
        wanted = servers * self._compute_version_rate() * self._typical_load_seconds
        return wanted > _MAX_UTILIZATION * max_loading

    def choose_models_per_server(self, servers: int, max_loading: int) -> int:
        """
        Return how many models may share a server if it skips every second version of each.

        If loads take longer than sharing allows, servers lag behind with all their models, and
        training steps wait for a server with weights that are recent enough.
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
        """Return how many versions of all models are published per second."""
        now = clock.read_now()
        return sum(
            1.0 / max(interval, now - self._published_at[model])
            for model, interval in self._intervals.items()
        )
