"""What is known of batches: the index in the platform's log, read as it grows."""

import threading

from oleander_base import clock, log, metrics, tasks
from oleander_batches import batch_table, records
from oleander_platform import recordlog

TOPIC = "oleander.index"
PARTITION = 0
"""All of the index is one partition: its order is the order of the results in each batch."""
_READ_TIMEOUT_SECONDS = 1.5
"""Above the wait by the answer of a slow store."""
_LONG_POLL_MS = 1000
"""Below the configuration's bound, so that a connection gone silent is noticed in time."""
_PROBE_TIMEOUT_SECONDS = 0.6
"""For a read while the log does not answer; it waits for no record, so that an entry which was cut
off is soon of use again."""
_IDLE_INTERVAL_SECONDS = 0.2
"""Between reads of the index: results of the same moment come in one read."""
_ACTIVE_INTERVAL_SECONDS = 0.02
"""The same while a caller or a run of this process waits for the next records."""
_RETRY_SECONDS = 0.2
"""Between tries while the log does not answer."""
_EVICTION_INTERVAL_SECONDS = 5.0
"""Between evictions of batches that are no longer kept."""


class IndexReader:
    """Folds the index, and wakes who waits for it; safe to use from several threads."""

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
        """Whether the index was read to its end at least once."""
        return self._is_caught_up

    @property
    def is_unreachable(self) -> bool:
        """
        Whether the last read of the index had no answer in its time.

        What a trainer asks then is refused at once: it asks another entry, which may reach the
        log. Held for the usual second or two, a submission began by as much later.
        """
        return self._is_unreachable

    @property
    def complete_as_of(self) -> float:
        """As of when everything that stood in the index is known."""
        return self._complete_as_of

    def follow(self) -> None:
        """Read the index as it grows, until the group stops."""
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
        """Set whether batches run here, whose owner reads the index without a longer pause."""
        with self._demand_changed:
            self._expects_updates = is_expected
            self._demand_changed.notify_all()

    @property
    def _has_waiters(self) -> bool:
        return self._waiters > 0 or self._expects_updates

    def _pause_while_idle(self) -> None:
        """
        Pause until the next read of the index, or until somebody waits for it.

        Few entries run batches or have a trainer waiting. They read on at once, or each step
        would begin and end later for it; the others read a few times a second.
        """
        deadline = clock.start_deadline(_IDLE_INTERVAL_SECONDS - _ACTIVE_INTERVAL_SECONDS)
        with self._demand_changed:
            while not self._has_waiters and not deadline.is_past and not self._group.is_stopping:
                self._demand_changed.wait(deadline.remaining)

    def refresh(self, since: float, deadline: clock.Deadline) -> bool:
        """Make sure that all that stood in the index at a moment is known; return success."""
        while self._complete_as_of < since:
            if deadline.is_past or not self._read_page(0, deadline):
                return False
        return True

    def find(self, batch_id: str) -> batch_table.Batch | None:
        """Return a batch as known now; its fields go on changing."""
        with self._lock:
            return self._table.find(batch_id)

    def list_open(self) -> list[batch_table.Batch]:
        """Return the batches with items that may be run, in the order of acceptance."""
        with self._lock:
            return [batch for batch in self._table.list_batches() if batch.is_open]

    def wait_for_results(
        self, batch: batch_table.Batch, after: int, deadline: clock.Deadline
    ) -> bool:
        """Wait until a batch has more results than so many, or can't be known to have them."""
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
        """Wait until the index has grown, until woken, or for so long."""
        with self._changed:
            self._changed.wait(seconds)

    def wake(self) -> None:
        """Wake the threads that wait for a change, as if the index had grown."""
        with self._changed:
            self._changed.notify_all()

    def apply_appended(self, record: records.IndexRecord) -> None:
        """Apply a record that this process has just appended, before it is read."""
        with self._changed:
            self._table.apply(record)
            self._changed.notify_all()

    def list_result_locations(
        self, batch: batch_table.Batch, after: int
    ) -> list[batch_table.ResultLocation]:
        """Return where the results of a batch stand, from a position on."""
        with self._lock:
            return batch.result_locations[after:]

    def list_partial_offsets(self, batch: batch_table.Batch) -> list[int]:
        """Return where the starts of a batch's texts stand, in order."""
        with self._lock:
            return sorted(place.content_offset for place in batch.partials.values())

    def _read_page(self, wait_ms: int, deadline: clock.Deadline) -> bool:
        started_at = clock.read_now()
        offset = self._next_offset
        page = self._log.read(TOPIC, PARTITION, offset, wait_ms, deadline)
        if page.is_error():
            metrics.count(metrics.LOG_OUTAGES)
            log.warn_bounded("index-unread", page.error.detail)
            self._record_failed_read(deadline.is_past)
            return False
        with self._changed:
            self._is_unreachable = False
            self._apply_page(page.ok, started_at)
            self._changed.notify_all()
        return True

    def _record_failed_read(self, timed_out: bool) -> None:
        """Record a failed read; a log that turned it away at once may be tried: nobody waits."""
        with self._changed:
            self._is_unreachable = timed_out
            self._changed.notify_all()

    def _apply_page(self, page: recordlog.RawPage, started_at: float) -> None:
        """Apply what is new in a page; another thread may have applied a part of it."""
        for record in page.records:
            if record.offset < self._next_offset:
                continue
            decoded = records.decode_record(record.content)
            if decoded.is_ok():
                self._table.apply(decoded.ok, self._is_caught_up)
            else:
                log.warn_bounded("index-record", str(decoded.error), offset=record.offset)
            self._next_offset = record.offset + 1
        if not page.records and page.end_offset > self._next_offset:
            log.warn_bounded("index-hollow", "a page without the records that its end names")
        self._next_offset = max(self._next_offset, page.next_offset)
        if self._next_offset >= page.end_offset:
            self._complete_as_of = max(self._complete_as_of, started_at)
            self._is_caught_up = True
