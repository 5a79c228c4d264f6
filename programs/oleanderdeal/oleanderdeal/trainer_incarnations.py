"""
Tells every entry, through the log, which incarnation of a trainer is the newest.

Once an entry has read the record, it refuses older incarnations of the trainer as "superseded",
for instance one that was paused or did not notice its replacement. Exactly-once delivery does not
depend on this, but on each incarnation's own list of the samples it holds; the refusal avoids
work for an incarnation that has been replaced.
"""

import queue

from oleander_base import clock, log, tasks
from oleander_contracts import fold, records
from oleander_platform import logservice
from oleander_samples import registry
from oleanderdeal import configuration

_MAX_PENDING = 256
_QUEUE_WAIT_SECONDS = 0.5
_APPEND_TIMEOUT_SECONDS = 2.0
_RETRY_SECONDS = 1.0


class TrainerIncarnations:
    """
    Appends new incarnations to the log, and passes those in the log to the step registry.

    The queue is bounded; if it is full, a new record is dropped, and queued again when the
    trainer registers its next step.
    """

    def __init__(
        self,
        service: logservice.LogService,
        current_configuration: fold.ConfigurationFold,
        steps: registry.StepRegistry,
        group: tasks.TaskGroup,
        process_name: str,
    ) -> None:
        self._service = service
        self._configuration = current_configuration
        self._steps = steps
        self._group = group
        self._process_name = process_name
        self._pending: queue.Queue[records.TrainerRecord] = queue.Queue(_MAX_PENDING)

    def is_superseded(self, customer: str, trainer: str, incarnation: int) -> bool:
        """Return whether a newer incarnation is known; if this one is newest, queue its record."""
        newest = self._configuration.find_incarnation(customer, trainer)
        if incarnation > newest:
            self._enqueue(
                records.TrainerRecord(customer, trainer, incarnation, self._process_name)
            )
        return incarnation < newest

    def update_steps(self) -> None:
        """Pass the newest incarnations in the configuration to the step registry."""
        for terms in self._configuration.list_contracts():
            for trainer in terms.trainers:
                newest = self._configuration.find_incarnation(terms.customer, trainer.name)
                if newest >= 0:
                    self._steps.record_incarnation(terms.customer, trainer.name, newest)

    def write(self) -> None:
        """Append queued records until the group stops; during an outage of the log, retry."""
        while not self._group.is_stopping:
            try:
                record = self._pending.get(timeout=_QUEUE_WAIT_SECONDS)
            except queue.Empty:
                continue
            self._append(record)

    def _append(self, record: records.TrainerRecord) -> None:
        while not self._group.is_stopping:
            if record.incarnation <= self._configuration.find_incarnation(
                record.customer, record.trainer
            ):
                return
            deadline = clock.start_deadline(_APPEND_TIMEOUT_SECONDS)
            if self._service.append(configuration.STREAM, [record.to_value()], deadline).is_ok():
                return
            self._group.pause(_RETRY_SECONDS)

    def _enqueue(self, record: records.TrainerRecord) -> None:
        try:
            self._pending.put_nowait(record)
        except queue.Full:
            log.warn_bounded("trainer-runs-dropped", "the queue of trainer incarnations is full")
