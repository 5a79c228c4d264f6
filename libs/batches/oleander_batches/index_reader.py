"""Follows the batch index in the platform's log and lets callers wait for its changes."""

import threading

from oleander_base import clock, log, metrics, tasks
from oleander_batches import batch_table, records
from oleander_platform import recordlog

TOPIC = "oleander.index"
PARTITION = 0
"""The index has one partition, because its order defines the order of each batch's results."""
_READ_TIMEOUT_SECONDS = 1.5
"""The timeout of a read: the long poll and the time that a slow store needs to answer."""
_LONG_POLL_MS = 1000
"""How long a read waits for new records. It is below the bound on the age of the configuration, so
that a connection without answers is detected in time."""
_PROBE_TIMEOUT_SECONDS = 0.6
"""The timeout of a read while the log does not answer. Such a read does not wait for new records,
so that an entry is soon usable once the log is back."""
_IDLE_INTERVAL_SECONDS = 0.2
"""The interval between reads while no caller waits, so that one read returns the results of about
the same time."""
_ACTIVE_INTERVAL_SECONDS = 0.02
"""The interval between reads while a caller or a batch of this process waits for new records."""
_RETRY_SECONDS = 0.2
"""The pause before the next read after one that failed."""
_EVICTION_INTERVAL_SECONDS = 5.0
"""The interval between evictions of expired batches."""


class IndexReader:
    """Applies the index to a table of batches and wakes the threads that wait; thread-safe."""

    def __init__(
        self, log_service: recordlog.RecordLog, group: tasks.TaskGroup, keep_seconds: float
    ) -> None:
        self._log = log_service
        self._group = group
        self._keep_seconds = keep_seconds
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._demand_changed = threading.Condition(self._lock)
        self._table = batch_table.BatchTable()
        self._next_offset = 0
        self._complete_as_of = 0.0
        self._waiters = 0
        self._expects_updates = False
        self._is_caught_up = False
        self._is_unreachable = False

    @property
    def is_caught_up(self) -> bool:
        """Whether the index has been read to its end at least once."""
        return self._is_caught_up

    @property
    def is_unreachable(self) -> bool:
        """
        Whether the last read of the index timed out.

        Trainers' requests are then refused at once, so that they try another entry, which may
        reach the log. If the requests were held for the usual second or two, submissions would
        start that much later.
        """
        return self._is_unreachable

    @property
    def complete_as_of(self) -> float:
        """The time as of which the index is complete: all records from before it are applied."""
        return self._complete_as_of

    def follow(self) -> None:
        """Read the index continuously until the task group stops."""
        evict_at = clock.read_now() + _EVICTION_INTERVAL_SECONDS
        while not self._group.is_stopping:
            wait_ms = _LONG_POLL_MS if self._is_caught_up and not self._is_unreachable else 0
            seconds = _PROBE_TIMEOUT_SECONDS if self._is_unreachable else _READ_TIMEOUT_SECONDS
            if not self._read_page(wait_ms, clock.start_deadline(seconds)):
                self._group.pause(_RETRY_SECONDS)
            if clock.read_now() >= evict_at:
                evict_at = clock.read_now() + _EVICTION_INTERVAL_SECONDS
                with self._lock:
                    self._table.evict_older(self._keep_seconds)
            self._group.pause(_ACTIVE_INTERVAL_SECONDS)
            self._pause_while_idle()

    def expect_updates(self, is_expected: bool) -> None:
        """Set whether this process runs batches, in which case the index is read more often."""
        with self._demand_changed:
            self._expects_updates = is_expected
            self._demand_changed.notify_all()

    @property
    def _has_waiters(self) -> bool:
        return self._waiters > 0 or self._expects_updates

    def _pause_while_idle(self) -> None:
        """
        Pause until the next read of the index is due, or until a caller waits for records.

        The few entries that run batches or have a trainer waiting read again at once, because the
        pause would delay the start and the end of each step. The others read a few times a second.
        """
        deadline = clock.start_deadline(_IDLE_INTERVAL_SECONDS - _ACTIVE_INTERVAL_SECONDS)
        with self._demand_changed:
            while not self._has_waiters and not deadline.is_past and not self._group.is_stopping:
                self._demand_changed.wait(deadline.remaining)

    def refresh(self, since: float, deadline: clock.Deadline) -> bool:
        """Read the index until it is complete as of `since`; return False if this fails."""
        while self._complete_as_of < since:
            if deadline.is_past or not self._read_page(0, deadline):
                return False
        return True

    def find(self, batch_id: str) -> batch_table.Batch | None:
        """Return a batch or None; the object is updated as the index is read."""
        with self._lock:
            return self._table.find(batch_id)

    def list_open(self) -> list[batch_table.Batch]:
        """Return the open batches in the order of their acceptance."""
        with self._lock:
            return [batch for batch in self._table.list_batches() if batch.is_open]

    def wait_for_results(
        self, batch: batch_table.Batch, after: int, deadline: clock.Deadline
    ) -> bool:
        """
        Wait until a batch has more than `after` results; return whether it has.

        The wait ends early if the batch is ended or if the log becomes unreachable.
        """
        with self._changed:
            self._waiters += 1
            self._demand_changed.notify_all()
            try:
                while (
                    len(batch.result_locations) <= after
                    and not batch.is_ended
                    and not self._is_unreachable
                ):
                    if deadline.is_past:
                        return False
                    self._changed.wait(deadline.remaining)
                return len(batch.result_locations) > after
            finally:
                self._waiters -= 1

    def wait_for_change(self, seconds: float) -> None:
        """Wait until the index changes or `wake` is called, but at most for `seconds`."""
        with self._changed:
            self._changed.wait(seconds)

    def wake(self) -> None:
        """Wake all waiting threads, although the index has not changed."""
        with self._changed:
            self._changed.notify_all()

    def apply_appended(self, record: records.IndexRecord) -> None:
        """Apply a record that this process has just appended, before it is read back."""
        with self._changed:
            self._table.apply(record)
            self._changed.notify_all()

    def list_result_locations(
        self, batch: batch_table.Batch, after: int
    ) -> list[batch_table.ResultLocation]:
        """Return the locations of a batch's results from position `after` on."""
        with self._lock:
            return batch.result_locations[after:]

    def list_partial_offsets(self, batch: batch_table.Batch) -> list[int]:
        """Return the content offsets of a batch's partial texts, in ascending order."""
        with self._lock:
            return sorted(location.content_offset for location in batch.partials.values())

    def _read_page(self, wait_ms: int, deadline: clock.Deadline) -> bool:
        """Read and apply the next page of the index; return False if the read failed."""
        started_at = clock.read_now()
        offset = self._next_offset
        page = self._log.read(TOPIC, PARTITION, offset, wait_ms, deadline)
        if page.is_error():
            metrics.count(metrics.LOG_FAILED_CALLS)
            log.warn_bounded("index-unread", page.error.detail)
            self._record_failed_read(deadline.is_past)
            return False
        with self._changed:
            self._is_unreachable = False
            self._apply_page(page.ok, started_at)
            self._changed.notify_all()
        return True

    def _record_failed_read(self, timed_out: bool) -> None:
        """
        Record a failed read of the index.

        After a refusal the log still counts as reachable, because it answers at once and trying
        again delays no caller.
        """
        with self._changed:
            self._is_unreachable = timed_out
            self._changed.notify_all()

    def _apply_page(self, page: recordlog.RawPage, started_at: float) -> None:
        """Apply the new records of a page, part of which another thread may have applied."""
        for record in page.records:
            if record.offset < self._next_offset:
                continue
            self._next_offset = record.offset + 1  # first, so a failure here does not recur
            decoded = records.decode_record(record.content)
            if decoded.is_ok():
                self._table.apply(decoded.ok, self._is_caught_up)
            else:
                log.warn_bounded("index-record", str(decoded.error), offset=record.offset)
        if not page.records and page.end_offset > self._next_offset:
            log.warn_bounded("index-hollow", "an empty page states an end beyond the next offset")
        self._next_offset = max(self._next_offset, page.next_offset)
        if self._next_offset >= page.end_offset:
            self._complete_as_of = max(self._complete_as_of, started_at)
            self._is_caught_up = True
