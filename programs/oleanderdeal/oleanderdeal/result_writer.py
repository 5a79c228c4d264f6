"""Writes the results of items to the log, several in one append."""

import collections
import threading

from oleander_base import log, metrics, tasks
from oleander_batches import journal, submission

_MAX_RESULTS_PER_APPEND = 64
"""Keeps an append within the size that the log accepts."""
_RETRY_SECONDS = 0.05
"""Pause before a failed append is tried again. It is short, as results that are not written are
lost if the process ends."""
_WAIT_SECONDS = 0.2
"""Longest wait for a result before the group is checked for a stop."""
_MAX_WAITING_RESULTS = 4096
"""At this number of unwritten results no item is started: the log accepts no results then, and
further ones would only use memory."""


class ResultWriter:
    """Queues results and appends them to the journal until each append succeeds."""

    def __init__(self, batch_journal: journal.BatchJournal, group: tasks.TaskGroup) -> None:
        self._journal = batch_journal
        self._group = group
        self._lock = threading.Condition()
        self._waiting: collections.deque[tuple[str, int, submission.ItemResult]] = (
            collections.deque()
        )
        self._writing = 0
        """Number of results in the last append; 0 again once the queue is found empty."""

    @property
    def is_full(self) -> bool:
        """Whether so many results are waiting that no item should be started."""
        return len(self._waiting) >= _MAX_WAITING_RESULTS

    @property
    def is_idle(self) -> bool:
        """Whether no result is waiting or being written."""
        return not self._waiting and not self._writing

    def add(self, batch_id: str, number: int, result: submission.ItemResult) -> None:
        """Queue a result for writing."""
        with self._lock:
            self._waiting.append((batch_id, number, result))
            self._lock.notify()

    def write(self) -> None:
        """Write results until the group stops."""
        while not self._group.is_stopping:
            taken = self._take_next()
            if taken and not self._append_results(taken):
                with self._lock:
                    self._waiting.extendleft(reversed(taken))
                self._group.pause(_RETRY_SECONDS)

    def _take_next(self) -> list[tuple[str, int, submission.ItemResult]]:
        """Remove and return waiting results of one batch, the oldest first, up to the bound."""
        with self._lock:
            if not self._waiting:
                self._writing = 0
                self._lock.wait(_WAIT_SECONDS)
            if not self._waiting:
                return []
            batch_id = self._waiting[0][0]
            taken = [item for item in self._waiting if item[0] == batch_id][
                :_MAX_RESULTS_PER_APPEND
            ]
            kept = [item for item in self._waiting if item not in taken]
            self._waiting = collections.deque(kept)
            self._writing = len(taken)
            return taken

    def _append_results(self, results: list[tuple[str, int, submission.ItemResult]]) -> bool:
        """Append the results of one batch that the index lacks; return False to retry them."""
        batch_id = results[0][0]
        batch = self._journal.index.find(batch_id)
        if batch is None:
            log.warn_bounded(
                "results-dropped", "the batch is no longer in the index", batch=batch_id
            )
            return True
        numbered = [(number, result) for _, number, result in results]
        unlisted = [item for item in numbered if item[0] not in batch.finished_items]
        if not unlisted:
            return True
        written = self._journal.append_results(batch_id, unlisted)
        if written.is_error():
            log.warn_bounded("results-unwritten", written.error.detail, batch=batch_id)
            return False
        metrics.count(metrics.RESULTS_WRITTEN, len(unlisted))
        return True
