"""
Appends a snapshot now and then, so that what is in force outlives the log's retention.

The log deletes old records. Once it has deleted the one that put a contract in force, a process
that starts afterwards could never learn of it. A snapshot holds everything in force; the fold is
deterministic, so several processes that write one at a time do no harm.
"""

import random

from oleander_base import clock, log, tasks
from oleander_contracts import fold
from oleander_platform import logservice
from oleanderdeal import configuration

_CHECK_SECONDS = 1.0
_APPEND_TIMEOUT_SECONDS = 2.0
_MAX_RECORDS_BETWEEN = 500
_JITTER = 0.5


class SnapshotWriter:
    """
    Writes a snapshot after so many records or so much time since the last one.

    The time only says when to write. Entries wait a random while longer, so that most see
    another's snapshot first and start waiting anew.
    """

    def __init__(
        self,
        service: logservice.LogService,
        current_configuration: fold.ConfigurationFold,
        group: tasks.TaskGroup,
        interval_ms: int,
    ) -> None:
        self._service = service
        self._configuration = current_configuration
        self._group = group
        self._interval_ms = interval_ms
        self._latest_snapshot_offset = -1
        self._next_write_due = self._create_deadline()

    def write(self) -> None:
        """Look for a reason to write until the group stops."""
        while self._group.pause(_CHECK_SECONDS):
            self._update_seen_snapshot()
            if self._is_due():
                self._append()

    def _update_seen_snapshot(self) -> None:
        newest = self._configuration.snapshot_offset
        if newest > self._latest_snapshot_offset:
            self._latest_snapshot_offset = newest
            self._next_write_due = self._create_deadline()

    def _is_due(self) -> bool:
        applied = self._configuration.applied_offset
        if applied <= self._latest_snapshot_offset or self._configuration.is_waiting:
            return False
        is_many = applied - self._latest_snapshot_offset > _MAX_RECORDS_BETWEEN
        return self._next_write_due.is_past or (is_many and random.random() < _JITTER)

    def _append(self) -> None:
        deadline = clock.start_deadline(_APPEND_TIMEOUT_SECONDS)
        snapshot = self._configuration.create_snapshot()
        appended = self._service.append(configuration.STREAM, [snapshot], deadline)
        self._next_write_due = self._create_deadline()
        if appended.is_error():
            log.warn_bounded("snapshot-not-written", appended.error.detail)

    def _create_deadline(self) -> clock.Deadline:
        seconds = self._interval_ms / 1000
        return clock.start_deadline(random.uniform(seconds, seconds * (1 + _JITTER)))
