"""
Makes known which run of a trainer is the newest, to every entry.

An older run of a trainer that wakes up, or that never noticed its replacement, is refused with
"superseded" wherever it asks, once the news is there. Exactly-once does not rest on it, but on
each run's own statement of what it holds; the news saves the work done for a run that is gone.
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
    Tells the log of new runs, and the step registry of what the log says.

    The queue is bounded; at the bound the newest news is dropped, and sent again with the
    trainer's next step.
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
        """Return whether a newer run is known; take this one in if not."""
        newest = self._configuration.find_incarnation(customer, trainer)
        if incarnation > newest:
            self._enqueue(
                records.TrainerRecord(customer, trainer, incarnation, self._process_name)
            )
        return incarnation < newest

    def update_steps(self) -> None:
        """Hand the newest runs to the step registry."""
        for terms in self._configuration.list_contracts():
            for trainer in terms.trainers:
                newest = self._configuration.find_incarnation(terms.customer, trainer.name)
                if newest >= 0:
                    self._steps.record_incarnation(terms.customer, trainer.name, newest)

    def write(self) -> None:
        """Append what waits until the group stops; an outage delays it."""
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
            log.warn_bounded("trainer-runs-dropped", "too much news of trainers waits for the log")
