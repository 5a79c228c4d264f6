"""Keeps the starts of texts in the log, and hands batches over when a process stops."""

import threading

from oleander_base import clock, log
from oleander_batches import journal
from oleanderdeal import batch_ownership, batch_run

_STOP_TIMEOUT_SECONDS = 0.2
"""In which the streams of a stopped run have ended, unless a server is silent."""


class BatchCheckpoints:
    """Writes what other processes need to go on with a batch; safe to use from several threads."""

    def __init__(
        self, batch_journal: journal.BatchJournal, tenures: batch_ownership.BatchOwnership
    ) -> None:
        self._journal = batch_journal
        self._tenures = tenures
        self._lock = threading.Lock()
        self._released_batch_ids: set[str] = set()

    def save(self, run: batch_run.BatchRun, min_events: int, event: str = "kept") -> bool:
        """Keep the starts that grew by so many events; return whether none is left to be kept."""
        partials = run.list_grown_partials(min_events) if run.batch.is_open else []
        if not partials:
            return True
        saved = self._journal.append_partials(run.batch.batch_id, partials)
        if saved.is_ok():
            run.record_checkpointed(partials)
        log.logger.bind(
            event=f"partials-{event}",
            batch=run.batch.batch_id,
            texts=len(partials),
            error=saved.error.detail if saved.is_error() else "",
        ).info("others can go on")
        return saved.is_ok()

    def hand_over(self, runs: dict[str, batch_run.BatchRun]) -> None:
        """Hand over the batches whose texts the log takes; call it again for the others."""
        with self._lock:
            for batch_id, run in runs.items():
                if batch_id in self._released_batch_ids or not run.batch.is_open:
                    continue
                if self._save_and_stop(run) and self._tenures.release([run.batch]):
                    self._released_batch_ids.add(batch_id)
                    run.stop()

    def _save_and_stop(self, run: batch_run.BatchRun) -> bool:
        """
        Stop a run if the log takes the starts of its texts; return whether they are kept.

        What was made since they were listed is kept once its streams have ended. Where there is no
        start yet, only the record that hands the batch over shows whether the log answers.
        """
        if run.is_stopped or not run.list_grown_partials(1):
            return True
        if not self.save(run, 1, "handed-over"):
            return False
        run.stop()
        run.wait_stopped(clock.start_deadline(_STOP_TIMEOUT_SECONDS))
        return self.save(run, 1, "handed-over")
