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

_LOOK_SECONDS = 1.0
_APPEND_SECONDS = 2.0
_MOST_RECORDS_BETWEEN = 500
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
        in_force: fold.ConfigurationFold,
        group: tasks.TaskGroup,
        interval_ms: int,
    ) -> None:
        self._service = service
        self._in_force = in_force
        self._group = group
        self._interval_ms = interval_ms
        self._seen_offset = -1
        self._due = self._create_deadline()

    def write(self) -> None:
        """Look for a reason to write until the group stops."""
        while self._group.pause(_LOOK_SECONDS):
            self._note_others()
            if self._is_due():
                self._append()

    def _note_others(self) -> None:
        newest = self._in_force.snapshot_offset
        if newest > self._seen_offset:
            self._seen_offset = newest
            self._due = self._create_deadline()

    def _is_due(self) -> bool:
        applied = self._in_force.applied_offset
        if applied <= self._seen_offset or self._in_force.is_waiting:
            return False
        is_many = applied - self._seen_offset > _MOST_RECORDS_BETWEEN
        return self._due.is_past or (is_many and random.random() < _JITTER)

    def _append(self) -> None:
        deadline = clock.start_deadline(_APPEND_SECONDS)
        snapshot = self._in_force.create_snapshot()
        appended = self._service.append(configuration.STREAM, [snapshot], deadline)
        self._due = self._create_deadline()
        if appended.is_error():
            log.warn_bounded("snapshot-not-written", appended.error.detail)

    def _create_deadline(self) -> clock.Deadline:
        seconds = self._interval_ms / 1000
        return clock.start_deadline(random.uniform(seconds, seconds * (1 + _JITTER)))
