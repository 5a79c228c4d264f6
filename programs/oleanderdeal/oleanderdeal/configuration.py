"""Follows the configuration stream, and trades records with peers while the log is down."""

import collections.abc
import random
import threading

from oleander_base import clock, log, metrics, tasks
from oleander_contracts import fold
from oleander_platform import logservice
from oleander_wire import messages

STREAM = "configuration"
_READ_MARGIN_SECONDS = 5.0
_MAX_PEER_FED_READ_SECONDS = 4.0
_PEER_FED_READ_JITTER = 0.5
_PEER_WAIT_SECONDS = 1.0


class ConfigurationFollower:
    """Folds the stream in order, from the log or from whichever peer is ahead."""

    def __init__(
        self,
        service: logservice.LogService,
        configuration: fold.ConfigurationFold,
        group: tasks.TaskGroup,
        poll_ms: int,
        is_peer_fed: collections.abc.Callable[[], bool] = lambda: False,
    ) -> None:
        """Create a follower; while it is fed by peers it reads the log only now and then."""
        self._service = service
        self._configuration = configuration
        self._group = group
        self._poll_ms = poll_ms
        self._is_peer_fed = is_peer_fed
        self._next_read_due = clock.start_deadline(0)
        self._listeners: list[collections.abc.Callable[[], None]] = []
        self._caught_up = threading.Event()
        self._log_failed = False
        self._newest_peer_offset = -1
        self._peer_wait_deadline: clock.Deadline | None = None

    @property
    def is_caught_up(self) -> bool:
        """Whether this process knows what was in force when it started."""
        return self._caught_up.is_set()

    @property
    def configuration(self) -> fold.ConfigurationFold:
        """What is in force."""
        return self._configuration

    def add_change_listener(self, listener: collections.abc.Callable[[], None]) -> None:
        """Call a function after each change; it must not block."""
        self._listeners.append(listener)

    def follow(self) -> None:
        """Read the log until the group stops."""
        while not self._group.is_stopping:
            if self._is_read_due() and self._read_page():
                continue
            self._group.pause(self._poll_ms / 1000)

    def create_missing_records(self, peer_offset: int) -> messages.Records:
        """Return what a peer lacks: the records themselves, or a snapshot where they are gone."""
        missing = self._configuration.records_after(peer_offset)
        if missing.is_error():
            return messages.Records([], [], [], self._configuration.create_snapshot())
        return messages.Records(
            [item.offset for item in missing.ok],
            [item.logged_at_ms for item in missing.ok],
            [item.value for item in missing.ok],
            None,
        )

    def record_peer_offset(self, offset: int) -> None:
        """
        Take in how far a peer is; catch up with the newest peer if the log can't be read.

        The first peer heard may itself lag. Starting from it could show a contract that was
        already replaced, so others are waited for a while, and the newest of them is reached.
        Where no peer has anything, all were replaced in the outage. To go on with nothing would
        answer callers as if no contract had ever been accepted; only the log can tell then.
        """
        self._newest_peer_offset = max(self._newest_peer_offset, offset)
        if self._peer_wait_deadline is None:
            self._peer_wait_deadline = clock.start_deadline(_PEER_WAIT_SECONDS)
        has_newest = self._configuration.applied_offset >= max(0, self._newest_peer_offset)
        if self._log_failed and self._peer_wait_deadline.is_past and has_newest:
            self._caught_up.set()

    def apply_peer_records(self, received: messages.Records) -> None:
        """Fold what a peer sent; the log's order is in the offsets, so the source is no matter."""
        before = self._configuration.applied_offset
        if received.snapshot is not None:
            self._configuration.install_snapshot(received.snapshot)
        for offset, time_ms, value in zip(
            received.offsets, received.times_ms, received.values, strict=False
        ):
            if self._configuration.apply(offset, time_ms, value).is_error():
                break
        self._notify_listeners(before)

    def _is_read_due(self) -> bool:
        """
        Tell whether to ask the log; thousands of sidecars that all do would overload it.

        A link does not show that its entry still reads the log: it may be cut off or paused. Were
        the log left alone for long, a change would reach neither the sidecar nor, through it, the
        entry for as long; a read every few seconds bounds that.
        """
        if not self._caught_up.is_set() or not self._is_peer_fed():
            return True
        return self._next_read_due.is_past

    def _read_page(self) -> bool:
        deadline = clock.start_deadline(self._poll_ms / 1000 + _READ_MARGIN_SECONDS)
        offset = self._configuration.next_offset
        page = self._service.read(STREAM, offset, self._poll_ms, deadline)
        self._log_failed = page.is_error()
        if page.is_error():
            metrics.count(metrics.LOG_OUTAGES)
            log.warn_bounded("log-read-failed", f"{STREAM}: {page.error.detail}")
            return False
        self._apply_page(page.ok)
        self._next_read_due = _create_read_deadline()
        if self._configuration.applied_offset + 1 >= page.ok.next_offset:
            self._caught_up.set()
        return True

    def _apply_page(self, page: logservice.Page) -> None:
        previous_offset = self._configuration.applied_offset
        self._configuration.skip_to(page.first_offset)
        for record in page.records:
            if self._configuration.apply(
                record.offset, record.logged_at_ms, record.value
            ).is_error():
                break
        self._notify_listeners(previous_offset)

    def _notify_listeners(self, previous_offset: int) -> None:
        applied = self._configuration.applied_offset
        metrics.record_gauge(metrics.CONFIGURATION_OFFSET, applied)
        if applied > previous_offset:
            for listener in self._listeners:
                listener()


def _create_read_deadline() -> clock.Deadline:
    """Return when a fed process asks the log next; at random, so that many don't ask at once."""
    shortest = _MAX_PEER_FED_READ_SECONDS * (1 - _PEER_FED_READ_JITTER)
    return clock.start_deadline(random.uniform(shortest, _MAX_PEER_FED_READ_SECONDS))
