"""Writes the results of items to the log, several in one append."""

import dataclasses
import threading

from oleander_base import log, metrics, tasks
from oleander_batches import content, journal, result_queue, submission

_RETRY_SECONDS = 0.05
"""Pause before a failed append is tried again. It is short, as results that are not written are
lost if the process ends."""
_WAIT_SECONDS = 0.2
"""Longest wait for a result before the group is checked for a stop."""
_MAX_BYTES_PER_APPEND = 512 * 1024
"""Size of the results that are written together, far below what the log accepts by default, so
that an append is quick also while many results wait after an outage."""
_MAX_WAITING_RESULTS = 4096
"""At this number of unwritten results no item is started: the log accepts no results then, and
further ones would only use memory."""
_MAX_WAITING_BYTES = 32 * 1024 * 1024
"""At this size of the unwritten results no item is started, for the same reason."""


class ResultWriter:
    """
    Queues results and appends them to the journal until each append succeeds.

    A result that the log can never accept is replaced by a "lost" one, so that neither its item
    nor the results behind it wait for ever.
    """

    def __init__(self, batch_journal: journal.BatchJournal, group: tasks.TaskGroup) -> None:
        self._journal = batch_journal
        self._group = group
        self._lock = threading.Condition()
        self._queue = result_queue.ResultQueue()

    @property
    def is_full(self) -> bool:
        """Whether so many results are waiting that no item should be started."""
        queue = self._queue
        return queue.count >= _MAX_WAITING_RESULTS or queue.size >= _MAX_WAITING_BYTES

    @property
    def is_idle(self) -> bool:
        """Whether no result is waiting or being written."""
        with self._lock:
            return self._queue.is_idle

    def add(self, batch_id: str, number: int, result: submission.ItemResult) -> None:
        """Queue a result for writing."""
        with self._lock:
            self._queue.add(batch_id, number, result)
            self._lock.notify()

    def list_unwritten(self, batch_id: str) -> set[int]:
        """Return the numbers of the items of a batch whose results are not written yet."""
        with self._lock:
            return self._queue.list_numbers(batch_id)

    def write(self) -> None:
        """Write results until the group stops."""
        while not self._group.is_stopping:
            if not self.write_next():
                self._group.pause(_RETRY_SECONDS)

    def write_next(self) -> bool:
        """Write the next results, waiting briefly for the first; return False if that failed."""
        with self._lock:
            if not self._queue.count:
                self._lock.wait(_WAIT_SECONDS)
            taken = self._queue.take(journal.MAX_RESULTS_PER_APPEND, _MAX_BYTES_PER_APPEND)
        unwritten = taken
        try:
            unwritten = self._write_results(taken) if taken else []
        finally:
            with self._lock:
                self._queue.settle(unwritten)
        return not unwritten

    def _write_results(
        self, results: list[result_queue.WaitingResult]
    ) -> list[result_queue.WaitingResult]:
        """Write the results of one batch that the index lacks; return those to try again."""
        batch_id = results[0].batch_id
        batch = self._journal.index.find(batch_id)
        if batch is None:
            log.warn_bounded(
                "results-dropped", "the batch is no longer in the index", batch=batch_id
            )
            return []
        unlisted = [item for item in results if item.number not in batch.finished_items]
        if not unlisted:
            return []
        failure = self._append(unlisted)
        if failure is None:
            return []
        if not failure.is_final:
            return unlisted
        unwritten: list[result_queue.WaitingResult] = []
        for item in unlisted:
            unwritten += self._write_single(item)
        return unwritten

    def _append(self, results: list[result_queue.WaitingResult]) -> content.JournalFailure | None:
        """Append results of one batch; return why that failed, or None."""
        batch_id = results[0].batch_id
        numbered = [(item.number, item.result) for item in results]
        written = self._journal.append_results(batch_id, numbered)
        if written.is_error():
            log.warn_bounded("results-unwritten", written.error.detail, batch=batch_id)
            return written.error
        metrics.count(metrics.RESULTS_WRITTEN, len(results))
        return None

    def _write_single(self, item: result_queue.WaitingResult) -> list[result_queue.WaitingResult]:
        """Write one result, or a "lost" one if the log can never accept it."""
        failure = self._append([item])
        if failure is None:
            return []
        if not failure.is_final:
            return [item]
        metrics.count(metrics.RESULTS_ABANDONED)
        log.warn_bounded(
            "result-abandoned",
            f"the log can never accept it; its item is listed as lost: {failure.detail}",
            batch=item.batch_id,
            id=item.result.item_id,
            bytes=item.size,
        )
        lost = submission.build_lost_result(item.result.item_id)
        if item.result == lost:
            return []
        return self._write_single(dataclasses.replace(item, result=lost))
