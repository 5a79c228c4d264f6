"""
Keeps one engine on the weight version that the configuration asks for.

Only this sidecar orders its engine to load weights. Each order carries the offset of the log
record that requested it as its fencing number, so an engine that checks these numbers refuses an
order older than one it has already accepted.
"""

import collections.abc
import dataclasses
import random
import threading

from oleander_backends import engine
from oleander_base import clock, log, metrics, tasks
from oleander_contracts import fold

_CALL_SECONDS = 2.0
_POLL_SECONDS = 0.5
_RETRY_SECONDS = 0.3
_MAX_RETRY_SECONDS = 5.0


@dataclasses.dataclass(slots=True, frozen=True)
class WeightState:
    """A snapshot of what this sidecar knows about its engine's weights."""

    version: int | None
    """The version that the engine last reported, or None while it is unknown."""
    orders_sent: int
    """
    Number of load orders sent so far.

    It makes states comparable: if two states are equal, no order was sent between them.
    """
    is_order_pending: bool
    """Whether a load is in progress, or may be because the outcome of an order is unknown."""
    marks_tokens: bool = dataclasses.field(default=True, compare=False)
    """Whether the engine marks each token with its version, judging by the last token seen."""

    @property
    def usable_version(self) -> int | None:
        """
        The version with which a new generation can be labelled, or None.

        If the engine does not mark its tokens, tokens generated while a load order is pending may
        come from either version and would be discarded, so no work is started then.
        """
        return self.version if self.marks_tokens or not self.is_order_pending else None


@dataclasses.dataclass(slots=True, frozen=True)
class OrderReport:
    """A load order and its outcome, for the audit log."""

    model: str
    version: int
    fencing: int
    outcome: str


class WeightReconciler:
    """
    Orders loads and confirms them by reading the engine's version.

    While the version is unknown the engine is out of rotation.
    """

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
        self._has_stopped_ordering = False
        self._is_ordering = False
        self._failures = 0
        self._order_after = clock.start_deadline(0.0)
        self._load_slot: clock.Deadline | None = None
        self._uncertain_until = clock.start_deadline(0.0)
        if not checks_fencing:
            self._uncertain_until = self._start_uncertainty()

    @property
    def version(self) -> int | None:
        """The version that new work runs on, or None if no work can be labelled now."""
        return self._state.usable_version

    @property
    def is_ordering(self) -> bool:
        """Whether a load order was sent and not answered yet."""
        return self._is_ordering

    def read_state(self) -> WeightState:
        """Return the current snapshot of the engine's weights."""
        return self._state

    def wake(self) -> None:
        """Check the configuration for a new version without waiting for the next poll."""
        self._changed.set()

    def stop_ordering(self) -> None:
        """Send no more orders: the engine is leaving, and the weight store's reads are scarce."""
        self._has_stopped_ordering = True

    def record_token_marking(self, marks_tokens: bool) -> None:
        """Record whether the engine marked its last token with a version."""
        if self._state.marks_tokens is not marks_tokens:
            with self._lock:
                self._state = dataclasses.replace(self._state, marks_tokens=marks_tokens)

    def confirm_unchanged(self, before: WeightState) -> int | None:
        """Return the version if it is unchanged since `before`, or None if it may have changed."""
        read = self._backend.read_version(clock.start_deadline(_CALL_SECONDS))
        now = self._state
        if read.is_error() or read.ok.is_loading or before.is_order_pending:
            return None
        if now != before or read.ok.version != before.version:
            self._changed.set()
            return None
        return before.version

    def run(self) -> None:
        """Reconcile the engine with the configured version until the group stops."""
        while not self._group.is_stopping:
            pause = self.reconcile()
            self._changed.wait(pause)
            self._changed.clear()

    def reconcile(self) -> float:
        """Take the next due action; return the number of seconds until the next call."""
        wanted = self._configuration.find_version(self._model)
        if not self._read_version():
            return _RETRY_SECONDS
        confirmed = self._state.version
        is_current = confirmed is not None and wanted is not None and confirmed >= wanted.version
        if wanted is None or is_current or self._has_stopped_ordering:
            self._failures = 0
            self._load_slot = None
            return _POLL_SECONDS
        due = self._find_order_time(confirmed)
        if not due.is_past:
            return min(_POLL_SECONDS, due.remaining)
        return self._send_load_order(engine.LoadOrder(self._model, wanted.version, wanted.offset))

    def _read_version(self) -> bool:
        """
        Read the engine's version; return whether a load order may be sent.

        The version is read on every round because a load whose answer was lost can finish at any
        time. During a load the engine stays in rotation with the version it reports; otherwise a
        weight store that hangs would stop all engines.
        """
        read = self._backend.read_version(clock.start_deadline(_CALL_SECONDS))
        if read.is_error():
            self._set_state(None, self._state.is_order_pending)
            return False
        is_uncertain = not self._uncertain_until.is_past
        self._set_state(read.ok.version, read.ok.is_loading or is_uncertain)
        return not read.ok.is_loading

    def _start_uncertainty(self) -> clock.Deadline:
        """
        Return the deadline until which an order with an unknown outcome may still take effect.

        An engine that ignores fencing numbers may still carry out an order whose answer was lost,
        or one of a killed sidecar, and so change its weights between two equal readings. This
        only holds back engines that do not mark tokens either; if tokens are marked, samples are
        labelled by the marks.
        """
        return clock.start_deadline_ms(self._load_timeout_ms)

    def _find_order_time(self, confirmed: int | None) -> clock.Deadline:
        """
        Return when to send the next order.

        Loads are spread at random over time, except for an engine without weights: it serves
        nothing, so it only waits for the backoff. The random start time is kept until the engine
        has caught up. If a new time were drawn for each version, an engine whose versions arrive
        at shorter intervals than these delays would never load any.
        """
        if confirmed is None:
            return self._order_after
        if self._load_slot is None:
            self._load_slot = clock.start_deadline(random.uniform(0, self._spread_ms / 1000))
        return max(self._load_slot, self._order_after, key=lambda item: item.expires_at)

    def _send_load_order(self, order: engine.LoadOrder) -> float:
        earlier = self._state.version
        with self._lock:
            orders_sent = self._state.orders_sent + 1
            self._state = dataclasses.replace(
                self._state, orders_sent=orders_sent, is_order_pending=True
            )
        deadline = clock.start_deadline_ms(self._load_timeout_ms)
        self._is_ordering = True
        try:
            loaded = self._backend.load_version(order, deadline)
        finally:
            self._is_ordering = False
        if loaded.is_ok():
            self._set_state(loaded.ok.version, not self._uncertain_until.is_past)
            self._failures = 0
            self._report_outcome(order, "loaded")
            return 0.0
        self._back_off(loaded.error.retry_after_ms)
        if loaded.error.not_run:
            self._set_state(earlier, not self._uncertain_until.is_past)
            self._report_outcome(order, "refused")
            return _RETRY_SECONDS
        if not self._checks_fencing:
            self._uncertain_until = self._start_uncertainty()
        self._set_state(None, True)
        self._report_outcome(order, "in doubt")
        return 0.0

    def _set_state(self, version: int | None, is_order_pending: bool) -> None:
        with self._lock:
            self._state = dataclasses.replace(
                self._state, version=version, is_order_pending=is_order_pending
            )
        metrics.record_gauge(metrics.WEIGHT_VERSION, -1 if version is None else version)

    def _back_off(self, least_ms: int) -> None:
        self._failures = min(self._failures + 1, 10)
        ceiling = min(_MAX_RETRY_SECONDS, _RETRY_SECONDS * 2**self._failures)
        seconds = random.uniform(_RETRY_SECONDS, ceiling)
        self._order_after = clock.start_deadline(max(seconds, least_ms / 1000))

    def _report_outcome(self, order: engine.LoadOrder, outcome: str) -> None:
        log.logger.bind(
            event="weight-order", model=order.model, version=order.version, fencing=order.fencing
        ).info(outcome)
        self._report(OrderReport(order.model, order.version, order.fencing, outcome))
