"""Writes load orders and their outcomes to the log, for the audit command."""

import queue
import typing

from oleander_base import clock, log, tasks
from oleander_platform import logservice
from oleanderdeal import weights

STREAM = "orders"
_MAX_PENDING = 200
_MAX_RECORDS_PER_APPEND = 50
_APPEND_TIMEOUT_SECONDS = 2.0
_RETRY_SECONDS = 5.0
_QUEUE_WAIT_SECONDS = 0.5


class OrderAuditLog:
    """
    Queues reports of orders and appends them to the log; if the queue is full, drops new ones.

    The audit log is for operators only and no guarantee of the system depends on it, so it never
    delays an order. Drops are reported by a warning.
    """

    def __init__(self, host: str, service: logservice.LogService, group: tasks.TaskGroup) -> None:
        self._host = host
        self._service = service
        self._group = group
        self._pending: queue.Queue[dict[str, typing.Any]] = queue.Queue(_MAX_PENDING)

    def report(self, order: weights.OrderReport) -> None:
        """Queue a report without blocking."""
        value = {
            "kind": "order",
            "host": self._host,
            "model": order.model,
            "version": order.version,
            "fencing": order.fencing,
            "outcome": order.outcome,
        }
        try:
            self._pending.put_nowait(value)
        except queue.Full:
            log.warn_bounded("orders-dropped", "the queue of order reports is full")

    def write(self) -> None:
        """Append queued reports until the group stops, retrying until each batch succeeds."""
        while not self._group.is_stopping:
            values = self._take_batch()
            while values and not self._group.is_stopping:
                deadline = clock.start_deadline(_APPEND_TIMEOUT_SECONDS)
                if self._service.append(STREAM, values, deadline).is_ok():
                    break
                self._group.pause(_RETRY_SECONDS)

    def _take_batch(self) -> list[dict[str, typing.Any]]:
        try:
            values = [self._pending.get(timeout=_QUEUE_WAIT_SECONDS)]
        except queue.Empty:
            return []
        while len(values) < _MAX_RECORDS_PER_APPEND and not self._pending.empty():
            values.append(self._pending.get_nowait())
        return values
