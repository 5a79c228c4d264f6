"""
Appends snapshots of the configuration to its stream, to keep it beyond the log's retention.

The log deletes old records. After it has deleted the record of a contract, a process that starts
later could not learn of that contract. A snapshot holds the whole configuration. All processes
compute the same configuration from the same records, so concurrent snapshots are harmless.
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
    Writes a snapshot after a number of records or an interval since the last one.

    The interval only schedules the write; it has no meaning to readers. Each entry adds a random
    delay, so that most of them see another entry's snapshot first and restart their interval.
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
        """Write snapshots when they are due until the group stops."""
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
        if applied <= self._latest_snapshot_offset or self._configuration.needs_snapshot:
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
