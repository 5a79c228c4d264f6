"""Keeps the starts of texts in the log, and hands batches over when a process stops."""

import threading

from oleander_base import clock, log
from oleander_batches import journal
from oleanderdeal import batch_run, batch_tenures

_STOP_SECONDS = 0.2
"""In which the streams of a stopped run have ended, unless a server is silent."""


class BatchCheckpoints:
    """Writes what other processes need to go on with a batch; safe to use from several threads."""

    def __init__(self, kept: journal.BatchJournal, tenures: batch_tenures.BatchTenures) -> None:
        self._journal = kept
        self._tenures = tenures
        self._lock = threading.Lock()
        self._released: set[str] = set()

    def keep(self, run: batch_run.BatchRun, least_events: int, event: str = "kept") -> bool:
        """Keep the starts that grew by so many events; return whether none is left to be kept."""
        partials = run.list_grown(least_events) if run.batch.is_open else []
        if not partials:
            return True
        kept = self._journal.append_partials(run.batch.batch_id, partials)
        if kept.is_ok():
            run.note_kept(partials)
        log.logger.bind(
            event=f"partials-{event}",
            batch=run.batch.batch_id,
            texts=len(partials),
            error=kept.error.detail if kept.is_error() else "",
        ).info("others can go on")
        return kept.is_ok()

    def hand_over(self, runs: dict[str, batch_run.BatchRun]) -> None:
        """Hand over the batches whose texts the log takes; call it again for the others."""
        with self._lock:
            for batch_id, run in runs.items():
                if batch_id in self._released or not run.batch.is_open:
                    continue
                if self._stop_kept(run) and self._tenures.release([run.batch]):
                    self._released.add(batch_id)
                    run.stop()

    def _stop_kept(self, run: batch_run.BatchRun) -> bool:
        """
        Stop a run if the log takes the starts of its texts; return whether they are kept.

        What was made since they were listed is kept once its streams have ended. Where there is no
        start yet, only the record that hands the batch over shows whether the log answers.
        """
        if run.is_given_up or not run.list_grown(1):
            return True
        if not self.keep(run, 1, "handed-over"):
            return False
        run.stop()
        run.wait_stopped(clock.start_deadline(_STOP_SECONDS))
        return self.keep(run, 1, "handed-over")
