"""Saves partial texts of batches to the log, and hands batches over when a process stops."""

import threading

from oleander_base import clock, log
from oleander_batches import journal, submission
from oleanderdeal import batch_ownership, batch_run

_STOP_TIMEOUT_SECONDS = 0.2
"""Longest wait for the streams of a stopped run to end; only a server that hangs exceeds it."""


class BatchCheckpoints:
    """Saves the progress that other processes need to continue a batch; thread-safe."""

    def __init__(
        self, batch_journal: journal.BatchJournal, tenures: batch_ownership.BatchOwnership
    ) -> None:
        self._journal = batch_journal
        self._tenures = tenures
        self._lock = threading.Lock()
        self._released_batch_ids: set[str] = set()

    def save(self, run: batch_run.BatchRun, min_events: int, event: str = "kept") -> bool:
        """
        Save partial texts that grew by at least `min_events`; return False if that failed.

        They are saved in portions that each fit into one append, so that those saved before a
        failure are not sent again. Texts that the log can never accept are left out until they
        have grown.
        """
        partials = run.list_grown_partials(min_events) if run.batch.is_open else []
        portions = self._journal.divide_partials(partials)
        return all(self._save_portion(run, portion, event) for portion in portions)

    def _save_portion(
        self, run: batch_run.BatchRun, partials: list[submission.PartialText], event: str
    ) -> bool:
        """Save partial texts; return False if that failed and must be tried again."""
        saved = self._journal.append_partials(run.batch.batch_id, partials)
        is_settled = saved.is_ok() or saved.error.is_final
        if is_settled:
            run.record_checkpointed(partials)
        log.logger.bind(
            event=f"partials-{event}",
            batch=run.batch.batch_id,
            texts=len(partials),
            error=saved.error.detail if saved.is_error() else "",
        ).info("saving partial texts for other processes")
        return is_settled

    def hand_over(self, runs: dict[str, batch_run.BatchRun]) -> None:
        """Save and hand over batches; call again to retry those that the log did not accept."""
        with self._lock:
            for batch_id, run in runs.items():
                if batch_id in self._released_batch_ids or not run.batch.is_open:
                    continue
                if self._save_and_stop(run) and self._tenures.release([run.batch]):
                    self._released_batch_ids.add(batch_id)
                    run.stop()

    def _save_and_stop(self, run: batch_run.BatchRun) -> bool:
        """
        Stop a run once the log accepts its partial texts; return whether all are saved.

        The texts are saved twice: first while the run continues, to find out whether the log
        answers, and again after its streams have ended, with the text generated since. A run
        without partial texts is not stopped here; the record that hands its batch over shows
        whether the log answers.
        """
        if run.is_stopped or not run.list_grown_partials(1):
            return True
        if not self.save(run, 1, "handed-over"):
            return False
        run.stop()
        run.wait_stopped(clock.start_deadline(_STOP_TIMEOUT_SECONDS))
        return self.save(run, 1, "handed-over")
