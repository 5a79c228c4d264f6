"""
Keeps one engine on the weight version in force.

Only this sidecar orders its engine to load weights, and each order carries the offset of the log
record that asked for it, so an engine that checks numbers refuses an order older than one it had.
"""

import collections.abc
import dataclasses
import random
import threading

from oleander_backends import engine
from oleander_base import clock, log, metrics, tasks
from oleander_contracts import fold

_CALL_SECONDS = 2.0
_IDLE_SECONDS = 0.5
_RETRY_SECONDS = 0.3
_MOST_RETRY_SECONDS = 5.0


@dataclasses.dataclass(slots=True, frozen=True)
class WeightState:
    """What is known of the engine's weights at one moment."""

    version: int | None
    """The version that the engine confirmed, or nothing while it is in doubt."""
    orders_given: int
    """How many orders went out so far; two equal states have no order between them."""
    order_open: bool


@dataclasses.dataclass(slots=True, frozen=True)
class OrderReport:
    """One order to the engine and what came of it, for the audit trail."""

    model: str
    version: int
    fencing: int
    outcome: str


class WeightKeeper:
    """Orders loads, confirms them by reading, and takes the engine out of rotation in doubt."""

    def __init__(
        self,
        backend: engine.Engine,
        model: str,
        configuration: fold.ConfigurationFold,
        group: tasks.TaskGroup,
        checks_fencing: bool,
        load_timeout_ms: int,
        spread_ms: int,
        report: collections.abc.Callable[[OrderReport], None],
    ) -> None:
        self._backend = backend
        self._model = model
        self._configuration = configuration
        self._group = group
        self._checks_fencing = checks_fencing
        self._load_timeout_ms = load_timeout_ms
        self._spread_ms = spread_ms
        self._report = report
        self._lock = threading.Lock()
        self._state = WeightState(None, 0, False)
        self._changed = threading.Event()
        self._failures = 0

    @property
    def version(self) -> int | None:
        """The version that the engine is known to run, or nothing while it is in doubt."""
        return self._state.version

    def read_state(self) -> WeightState:
        """Return what is known now."""
        return self._state

    def wake(self) -> None:
        """Look at the configuration now; a new version may be in force."""
        self._changed.set()

    def confirm_unchanged(self, before: WeightState) -> int | None:
        """Return the version that ran ever since, or nothing if it can't be known."""
        read = self._backend.read_version(clock.start_deadline(_CALL_SECONDS))
        now = self._state
        if read.is_error() or read.ok.is_loading or before.order_open:
            return None
        if now != before or read.ok.version != before.version:
            self._changed.set()
            return None
        return before.version

    def keep(self) -> None:
        """Follow the version in force until the group stops."""
        self._wait_out_earlier_orders()
        while not self._group.is_stopping:
            pause = self.look()
            self._changed.wait(pause)
            self._changed.clear()

    def _wait_out_earlier_orders(self) -> None:
        """
        Trust nothing that the engine says until orders of an earlier incarnation have ended.

        An engine that ignores fencing numbers may still carry out an order that a killed sidecar
        gave; its load would change the weights after we read them. Orders end by their timeout.
        Labels do not rest on this wait where the engine states each token's version.
        """
        if not self._checks_fencing:
            self._group.pause(self._load_timeout_ms / 1000)

    def look(self) -> float:
        """Do the next thing that is due; return how many seconds to wait before looking again."""
        wanted = self._configuration.find_version(self._model)
        if not self._confirm_by_reading():
            return self._back_off()
        confirmed = self._state.version
        if wanted is None or (confirmed is not None and confirmed >= wanted.version):
            self._failures = 0
            return _IDLE_SECONDS
        self._spread_loads()
        return self._load(engine.LoadOrder(self._model, wanted.version, wanted.offset))

    def _confirm_by_reading(self) -> bool:
        """
        Read the version; return whether an order may be given.

        It is read again and again, since a load whose answer was lost can end at any time.
        """
        read = self._backend.read_version(clock.start_deadline(_CALL_SECONDS))
        if read.is_error() or read.ok.is_loading:
            self._set_state(None, self._state.order_open)
            return False
        self._set_state(read.ok.version, False)
        if read.ok.version is not None:
            return True
        return self._configuration.find_version(self._model) is not None

    def _spread_loads(self) -> None:
        """Keep all engines from reading the weight store, and from swapping, at once."""
        if self._spread_ms > 0:
            self._group.pause(random.uniform(0, self._spread_ms / 1000))

    def _load(self, order: engine.LoadOrder) -> float:
        earlier = self._state.version
        with self._lock:
            self._state = WeightState(earlier, self._state.orders_given + 1, True)
        deadline = clock.start_deadline_ms(self._load_timeout_ms)
        loaded = self._backend.load_version(order, deadline)
        if loaded.is_ok():
            self._set_state(loaded.ok.version, False)
            self._failures = 0
            self._tell(order, "loaded")
            return 0.0
        if loaded.error.not_run:
            self._set_state(earlier, False)
            self._tell(order, "refused")
            return max(self._back_off(), loaded.error.retry_after_ms / 1000)
        self._set_state(None, True)
        self._tell(order, "in doubt")
        return self._back_off()

    def _set_state(self, version: int | None, order_open: bool) -> None:
        with self._lock:
            self._state = WeightState(version, self._state.orders_given, order_open)
        metrics.record_gauge(metrics.WEIGHT_VERSION, -1 if version is None else version)

    def _back_off(self) -> float:
        self._failures = min(self._failures + 1, 10)
        ceiling = min(_MOST_RETRY_SECONDS, _RETRY_SECONDS * 2**self._failures)
        return random.uniform(_RETRY_SECONDS, ceiling)

    def _tell(self, order: engine.LoadOrder, outcome: str) -> None:
        log.logger.bind(
            event="weight-order", model=order.model, version=order.version, fencing=order.fencing
        ).info(outcome)
        self._report(OrderReport(order.model, order.version, order.fencing, outcome))
