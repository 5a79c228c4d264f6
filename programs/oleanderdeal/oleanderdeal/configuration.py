"""Follows the configuration stream, and trades records with peers while the log is down."""

import collections.abc
import threading

from oleander_base import clock, log, metrics, tasks
from oleander_contracts import fold
from oleander_platform import logservice

STREAM = "configuration"
_READ_SECONDS = 5.0
_MOST_RECORDS_SENT = 200


class ConfigurationFollower:
    """Folds the stream in order, from the log or from whichever peer is ahead."""

    def __init__(
        self,
        service: logservice.LogService,
        configuration: fold.ConfigurationFold,
        group: tasks.TaskGroup,
        poll_ms: int,
    ) -> None:
        self._service = service
        self._configuration = configuration
        self._group = group
        self._poll_ms = poll_ms
        self._lock = threading.Lock()
        self._listeners: list[collections.abc.Callable[[], None]] = []
        self._caught_up = threading.Event()

    @property
    def is_caught_up(self) -> bool:
        """Whether this process knows what was in force when it started."""
        return self._caught_up.is_set()

    @property
    def configuration(self) -> fold.ConfigurationFold:
        """What is in force."""
        return self._configuration

    def on_change(self, listener: collections.abc.Callable[[], None]) -> None:
        """Call a function after each change; it must not block."""
        self._listeners.append(listener)

    def follow(self) -> None:
        """Read the log until the group stops."""
        while not self._group.is_stopping:
            if not self._read_page():
                self._group.pause(self._poll_ms / 1000)

    def _read_page(self) -> bool:
        offset = self._configuration.applied_offset + 1
        deadline = clock.start_deadline(self._poll_ms / 1000 + _READ_SECONDS)
        page = self._service.read(STREAM, offset, self._poll_ms, deadline)
        if page.is_error():
            metrics.count(metrics.LOG_OUTAGES)
            log.warn_bounded("log-read-failed", f"{STREAM}: {page.error.detail}")
            return False
        if page.ok.records:
            self._apply(page.ok.records, page.ok.first_offset)
        if self._configuration.applied_offset + 1 >= page.ok.next_offset:
            self._caught_up.set()
        return True
