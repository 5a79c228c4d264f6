"""Follows the configuration stream in the log, and through peers while the log is down."""

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
    """Applies the stream's records in order, read from the log or received from peers."""

    def __init__(
        self,
        service: logservice.LogService,
        configuration: fold.ConfigurationFold,
        group: tasks.TaskGroup,
        poll_ms: int,
        is_peer_fed: collections.abc.Callable[[], bool] = lambda: False,
    ) -> None:
        """
        Create a follower that long-polls the log for `poll_ms`.

        While `is_peer_fed` returns true, peers send new records, and the log is read only every
        few seconds.
        """
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
        """Whether this process has read the configuration that was current at its start."""
        return self._caught_up.is_set()

    @property
    def configuration(self) -> fold.ConfigurationFold:
        """The configuration as applied so far."""
        return self._configuration

    def add_change_listener(self, listener: collections.abc.Callable[[], None]) -> None:
        """Register a function to call after each change; it must not block."""
        self._listeners.append(listener)

    def follow(self) -> None:
        """Read the log until the group stops."""
        while not self._group.is_stopping:
            if self._is_read_due() and self._read_page():
                continue
            self._group.pause(self._poll_ms / 1000)

    def create_missing_records(self, peer_offset: int) -> messages.Records:
        """Return the records after a peer's offset, or a snapshot if those were discarded."""
        missing = self._configuration.list_after(peer_offset)
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
        Record a peer's offset; if the log can't be read, count as caught up with the newest peer.

        The first peer to report may itself lag, and starting from it could apply a contract that
        was already replaced. So this process waits a while for other peers, and until the highest
        of their offsets is applied. If no peer has any record, all peers were replaced during the
        outage. Serving an empty configuration would answer callers as if no contract had ever been
        accepted, so this process then waits for the log.
        """
        self._newest_peer_offset = max(self._newest_peer_offset, offset)
        if self._peer_wait_deadline is None:
            self._peer_wait_deadline = clock.start_deadline(_PEER_WAIT_SECONDS)
        has_newest = self._configuration.applied_offset >= max(0, self._newest_peer_offset)
        if self._log_failed and self._peer_wait_deadline.is_past and has_newest:
            self._caught_up.set()

    def apply_peer_records(self, received: messages.Records) -> None:
        """Apply records received from a peer, in the order that their log offsets give."""
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
        Return whether to read the log now; thousands of polling sidecars would overload it.

        An open link does not prove that the entry at its other end still reads the log: the entry
        may be cut off or paused. If the sidecar never read the log itself, a change would reach
        neither it nor, through it, the entry. A read every few seconds bounds that delay.
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
            metrics.count(metrics.LOG_FAILED_CALLS)
            log.warn_bounded("log-read-failed", f"{STREAM}: {page.error.detail}")
            return False
        self._apply_page(page.ok)
        self._next_read_due = _create_read_deadline()
        if self._configuration.applied_offset + 1 >= page.ok.next_offset:
            self._caught_up.set()
        return True

    def _apply_page(self, page: logservice.Page) -> None:
        previous_offset = self._configuration.applied_offset
        self._configuration.record_deleted(page.first_offset)
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
    """Return a random deadline for a peer-fed process's next read, to spread load on the log."""
    shortest = _MAX_PEER_FED_READ_SECONDS * (1 - _PEER_FED_READ_JITTER)
    return clock.start_deadline(random.uniform(shortest, _MAX_PEER_FED_READ_SECONDS))
