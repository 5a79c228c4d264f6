"""What is known of batches: the index in the platform's log, read as it grows."""

import threading

from oleander_base import clock, log, metrics, tasks
from oleander_batches import fold, records
from oleander_platform import recordlog

TOPIC = "oleander.index"
PARTITION = 0
"""All of the index is one partition: its order is the order of the results in each batch."""
_READ_SECONDS = 1.5
"""Above the wait by the answer of a slow store."""
_WAIT_MS = 1000
"""Below the configuration's bound, so that a connection gone silent is noticed in time."""
_PROBE_SECONDS = 0.6
"""For a read while the log does not answer; it waits for no record, so that an entry which was cut
off is soon of use again."""
_PAUSE_SECONDS = 0.2
"""Between reads of the index: results of the same moment come in one read."""
_WANTED_PAUSE_SECONDS = 0.02
"""The same while a caller or a run of this process waits for the next records."""
_AGAIN_SECONDS = 0.2
"""Between tries while the log does not answer."""
_FORGET_EVERY_SECONDS = 5.0
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
        self._is_wanted = threading.Condition(self._lock)
        self._fold = fold.BatchFold()
        self._next_offset = 0
        self._complete_at = 0.0
        self._waiters = 0
        self._expects_updates = False
        self._is_caught_up = False
        self._is_cut = False

    @property
    def is_caught_up(self) -> bool:
        """Whether the index was read to its end at least once."""
        return self._is_caught_up

    @property
    def is_cut(self) -> bool:
        """
        Whether the last read of the index had no answer in its time.

        What a trainer asks then is refused at once: it asks another entry, which may reach the
        log. Held for the usual second or two, a submission began by as much later.
        """
        return self._is_cut

    @property
    def complete_at(self) -> float:
        """As of when everything that stood in the index is known."""
        return self._complete_at

    def follow(self) -> None:
        """Read the index as it grows, until the group stops."""
        forget_at = clock.read_now() + _FORGET_EVERY_SECONDS
        while not self._group.is_stopping:
            wait_ms = _WAIT_MS if self._is_caught_up and not self._is_cut else 0
            seconds = _PROBE_SECONDS if self._is_cut else _READ_SECONDS
            if not self._read_on(wait_ms, clock.start_deadline(seconds)):
                self._group.pause(_AGAIN_SECONDS)
            if clock.read_now() >= forget_at:
                forget_at = clock.read_now() + _FORGET_EVERY_SECONDS
                with self._lock:
                    self._fold.forget_older(self._keep_seconds)
            self._group.pause(_WANTED_PAUSE_SECONDS)
            self._pause_unless_wanted()

    def expect_updates(self, is_expected: bool) -> None:
        """Set whether batches run here, whose owner reads the index without a longer pause."""
        with self._is_wanted:
            self._expects_updates = is_expected
            self._is_wanted.notify_all()

    @property
    def _has_waiters(self) -> bool:
        return self._waiters > 0 or self._expects_updates

    def _pause_unless_wanted(self) -> None:
        """
        Pause until the next read of the index, or until somebody waits for it.

        Few entries run batches or have a trainer waiting. They read on at once, or each step
        would begin and end later for it; the others read a few times a second.
        """
        deadline = clock.start_deadline(_PAUSE_SECONDS - _WANTED_PAUSE_SECONDS)
        with self._is_wanted:
            while not self._has_waiters and not deadline.is_past and not self._group.is_stopping:
                self._is_wanted.wait(deadline.remaining)

    def refresh(self, since: float, deadline: clock.Deadline) -> bool:
        """Make sure that all that stood in the index at a moment is known; return success."""
        while self._complete_at < since:
            if deadline.is_past or not self._read_on(0, deadline):
                return False
        return True

    def find(self, batch_id: str) -> fold.Batch | None:
        """Return a batch as known now; its fields go on changing."""
        with self._lock:
            return self._fold.find(batch_id)

    def list_open(self) -> list[fold.Batch]:
        """Return the batches with items that may be run, in the order of acceptance."""
        with self._lock:
            return [batch for batch in self._fold.list_batches() if batch.is_open]

    def wait_longer(self, batch: fold.Batch, after: int, deadline: clock.Deadline) -> bool:
        """Wait until a batch has more results than so many, or can't be known to have them."""
        with self._changed:
            self._waiters += 1
            self._is_wanted.notify_all()
            try:
                while len(batch.listed) <= after and not batch.is_ended and not self._is_cut:
                    if deadline.is_past:
                        return False
                    self._changed.wait(deadline.remaining)
                return len(batch.listed) > after
            finally:
                self._waiters -= 1

    def wait_change(self, seconds: float) -> None:
        """Wait until the index has grown, until woken, or for so long."""
        with self._changed:
            self._changed.wait(seconds)

    def wake(self) -> None:
        """Wake the threads that wait for a change, as if the index had grown."""
        with self._changed:
            self._changed.notify_all()

    def apply_own(self, record: records.IndexRecord) -> None:
        """Apply a record that this process has just appended, before it is read."""
        with self._changed:
            self._fold.apply(record)
            self._changed.notify_all()

    def list_places(self, batch: fold.Batch, after: int) -> list[fold.ResultPlace]:
        """Return where the results of a batch stand, from a position on."""
        with self._lock:
            return batch.listed[after:]

    def list_partial_offsets(self, batch: fold.Batch) -> list[int]:
        """Return where the starts of a batch's texts stand, in order."""
        with self._lock:
            return sorted(place.content_offset for place in batch.partials.values())

    def _read_on(self, wait_ms: int, deadline: clock.Deadline) -> bool:
        started_at = clock.read_now()
        offset = self._next_offset
        page = self._log.read(TOPIC, PARTITION, offset, wait_ms, deadline)
        if page.is_error():
            metrics.count(metrics.LOG_OUTAGES)
            log.warn_bounded("index-unread", page.error.detail)
            self._note_cut(deadline.is_past)
            return False
        with self._changed:
            self._is_cut = False
            self._apply_page(page.ok, started_at)
            self._changed.notify_all()
        return True

    def _note_cut(self, was_silent: bool) -> None:
        """Record a failed read; a log that turned it away at once may be tried: nobody waits."""
        with self._changed:
            self._is_cut = was_silent
            self._changed.notify_all()

    def _apply_page(self, page: recordlog.RawPage, started_at: float) -> None:
        """Apply what is new in a page; another thread may have applied a part of it."""
        for record in page.records:
            if record.offset < self._next_offset:
                continue
            decoded = records.decode_record(record.content)
            if decoded.is_ok():
                self._fold.apply(decoded.ok, self._is_caught_up)
            else:
                log.warn_bounded("index-record", str(decoded.error), offset=record.offset)
            self._next_offset = record.offset + 1
        if not page.records and page.end_offset > self._next_offset:
            log.warn_bounded("index-hollow", "a page without the records that its end names")
        self._next_offset = max(self._next_offset, page.next_offset)
        if self._next_offset >= page.end_offset:
            self._complete_at = max(self._complete_at, started_at)
            self._is_caught_up = True
