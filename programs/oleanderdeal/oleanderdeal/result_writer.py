"""Writes the results of items to the log."""

import collections
import threading

from oleander_base import log, metrics, tasks
from oleander_batches import journal, submission

_MOST_RESULTS = 64
"""In one append, which the log bounds."""
_WRITE_AGAIN_SECONDS = 0.05
"""Between tries while the log turns writes away; a result is lost with its process until then."""
_LOOK_SECONDS = 0.2
_MOST_WAITING_RESULTS = 4096
"""Past this no item is begun: results can't be written, and more would only fill memory."""


class ResultWriter:
    """Writes results to the journal, several at once, until each stands there."""

    def __init__(self, kept: journal.BatchJournal, group: tasks.TaskGroup) -> None:
        self._journal = kept
        self._group = group
        self._lock = threading.Condition()
        self._waiting: collections.deque[tuple[str, int, submission.ItemResult]] = (
            collections.deque()
        )
        self._writing = 0

    @property
    def is_full(self) -> bool:
        """Whether so many results wait that no item should be begun."""
        return len(self._waiting) >= _MOST_WAITING_RESULTS

    @property
    def is_idle(self) -> bool:
        """Whether every result is written."""
        return not self._waiting and not self._writing

    def add(self, batch_id: str, number: int, result: submission.ItemResult) -> None:
        """Take in a result."""
        with self._lock:
            self._waiting.append((batch_id, number, result))
            self._lock.notify()

    def write(self) -> None:
        """Write results until the group stops."""
        while not self._group.is_stopping:
            taken = self._take()
            if taken and not self._write_all(taken):
                with self._lock:
                    self._waiting.extendleft(reversed(taken))
                self._group.pause(_WRITE_AGAIN_SECONDS)

    def _take(self) -> list[tuple[str, int, submission.ItemResult]]:
        """Return the first results of one batch."""
        with self._lock:
            if not self._waiting:
                self._writing = 0
                self._lock.wait(_LOOK_SECONDS)
            if not self._waiting:
                return []
            batch_id = self._waiting[0][0]
            taken = [item for item in self._waiting if item[0] == batch_id][:_MOST_RESULTS]
            kept = [item for item in self._waiting if item not in taken]
            self._waiting = collections.deque(kept)
            self._writing = len(taken)
            return taken

    def _write_all(self, taken: list[tuple[str, int, submission.ItemResult]]) -> bool:
        batch_id = taken[0][0]
        batch = self._journal.index.find(batch_id)
        if batch is None:
            log.warn_bounded("results-dropped", "the batch is forgotten", batch=batch_id)
            return True
        numbered = [(number, result) for _, number, result in taken]
        fresh = [item for item in numbered if item[0] not in batch.finished_items]
        if not fresh:
            return True
        written = self._journal.append_results(batch_id, fresh)
        if written.is_error():
            log.warn_bounded("results-unwritten", written.error.detail, batch=batch_id)
            return False
        metrics.count(metrics.RESULTS_WRITTEN, len(fresh))
        return True
