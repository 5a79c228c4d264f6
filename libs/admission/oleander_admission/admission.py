"""The queue in front of a backend server's slots: who is let in and who goes next."""

import collections.abc
import dataclasses
import random
import statistics
import threading

import expression

from oleander_admission import estimator, priority_classes, work
from oleander_base import clock, invariants
from oleander_contracts import contract

_PREEMPTIBLE = frozenset({contract.Priority.SAMPLING, contract.Priority.BACKGROUND})
_MIN_RUNNING = 2
"""What runs tells of the backend server only from so many on."""
_MIN_RETRY_AFTER_MS = 50
_MAX_RETRY_AFTER_MS = 60_000


@dataclasses.dataclass(slots=True)
class _RunningWork:
    """Work that was handed out."""

    selected: priority_classes.Selection
    started_at: float


class AdmissionQueue:
    """
    Waiting and running work of one backend server; safe to use from several threads.

    At most `most_waiting` works wait. At that bound a newcomer displaces the newest work of the
    least urgent class below its own, or of a customer of its own class that has more waiting for
    its share; otherwise the newcomer is refused. One in twenty places is kept for each class.
    Work that was dropped counts too: once as many are not collected, all newcomers are refused.
    Work that was taken holds its slot until `finish`.
    """

    def __init__(
        self,
        slots: int,
        max_waiting: int,
        read_now: collections.abc.Callable[[], float] = clock.read_now,
        jitter: random.Random | None = None,
    ) -> None:
        self._slots = slots
        self._max_waiting = max_waiting
        self._read_now = read_now
        self._jitter = jitter if jitter is not None else random.Random()
        self._condition = threading.Condition()
        self._waiting = priority_classes.WaitingWork()
        self._running: dict[str, _RunningWork] = {}
        """In the order in which it was taken."""
        self._dropped: list[work.DroppedWork] = []
        self._estimator = estimator.ServiceEstimator()
        self._is_leaving = False

    @property
    def queued(self) -> int:
        """How much work waits."""
        with self._condition:
            return len(self._waiting)

    @property
    def running(self) -> int:
        """How much work was taken and not finished."""
        with self._condition:
            return len(self._running)

    def submit(self, item: work.Work) -> expression.Result[None, work.Refusal]:
        """
        Let work in or refuse it, at once; refused work does not run.

        The predicted cost decides too: a prediction longer than the deadline allows is refused
        even by an idle queue, so a caller without measurements should predict low.
        A `work_id` that waits or runs already is a fault of the program and raises.
        """
        with self._condition:
            now = self._read_now()
            is_known = item.work_id in self._running or item.work_id in self._waiting
            invariants.require(not is_known, "work-submitted-once", item.work_id)
            self._drop_expired(now)
            if self._is_leaving:
                return expression.Error(self._refuse(work.LEAVING, 0.0))
            wait_ms = self._estimate_start_ms(self._waiting.estimate_ahead_ms(item), now)
            late_ms = self._measure_lateness_ms(item, wait_ms, now)
            if late_ms > 0.0:
                return expression.Error(self._refuse(work.TOO_LATE, late_ms))
            if not self._make_room(item, now):
                return expression.Error(self._refuse(work.QUEUE_FULL, wait_ms))
            self._waiting.add(item)
            self._condition.notify()
            return expression.Ok(None)

    def take(self, seconds: float) -> work.Work | None:
        """Wait for a free slot and work to run in it; return nothing after so long."""
        deadline = clock.start_deadline(seconds)
        with self._condition:
            while True:
                item = self._start_next(self._read_now())
                if item is not None:
                    return item
                remaining = deadline.remaining
                if remaining <= 0.0:
                    return None
                self._condition.wait(remaining)

    def take_dropped(self) -> list[work.DroppedWork]:
        """Return accepted work that will not run after all; ask often, its callers wait."""
        with self._condition:
            self._drop_expired(self._read_now())
            dropped = self._dropped
            self._dropped = []
            return dropped

    def finish(self, work_id: str, service_ms: float, completed: bool = True) -> None:
        """
        Free the slot of work that was taken and charge its customer what it really took.

        Work that was cancelled or preempted is not `completed`: its time says nothing of how long
        such work takes. An id that does not run is ignored, so finishing twice does no harm.
        """
        with self._condition:
            running = self._running.pop(work_id, None)
            if running is None:
                return
            cost_ms = running.selected.work.cost_ms
            self._waiting.adjust_charge(running.selected.work, service_ms - cost_ms)
            if completed:
                self._estimator.record_service(cost_ms, service_ms, self._read_now())
            self._condition.notify()

    def cancel(self, work_id: str) -> bool:
        """Forget work that still waits; return whether it did."""
        with self._condition:
            return self._waiting.remove(work_id)

    def find_preemptible(self, priority: int) -> str | None:
        """
        Return running work to give up for work of a priority, if no slot is free.

        Work that runs by its class's floor is left alone: were it given up whenever more urgent
        work waits, the floor would never let anything end.
        """
        with self._condition:
            if len(self._running) < self._slots:
                return None
            victim: work.Work | None = None
            for running in self._running.values():
                item = running.selected.work
                if running.selected.by_min_share or item.priority <= priority:
                    continue
                if priority_classes.find_priority_class(item.priority) not in _PREEMPTIBLE:
                    continue
                if victim is None or item.priority >= victim.priority:
                    victim = item
            return victim.work_id if victim is not None else None

    def estimate_wait_ms(self, priority: int) -> int:
        """Return how long new work would wait behind all of its own and of more urgent classes."""
        with self._condition:
            ahead_ms = self._waiting.estimate_class_ahead_ms(
                priority_classes.find_priority_class(priority)
            )
            return int(self._estimate_start_ms(ahead_ms, self._read_now()))

    def close(self) -> None:
        """Refuse new work from now on; what waits and what runs goes on."""
        with self._condition:
            self._is_leaving = True

    def drop_waiting(self) -> None:
        """Drop all that waits as `LEAVING`; what runs goes on."""
        with self._condition:
            now = self._read_now()
            for item in self._waiting.pop_all():
                self._drop(item, work.LEAVING, now)

    def _measure_lateness_ms(self, item: work.Work, wait_ms: float, now: float) -> float:
        """Return by how much work would end after its deadline; negative if it would not."""
        budget_ms = (item.deadline.expires_at - now) * 1000
        return wait_ms + item.cost_ms * self._estimate_cost_ratio(now) - budget_ms

    def _estimate_cost_ratio(self, now: float) -> float:
        """
        Return by how much to multiply a predicted service time, as seen by what runs now too.

        A backend server that turns slow completes nothing for a while, and the estimate stays as
        it was; meanwhile work was let in that could not end in time. Half of what runs being late
        shows it sooner; a single straggler does not count, nor the only work that runs.
        """
        ratio = self._estimator.compute_ratio(now)
        if len(self._running) < _MIN_RUNNING:
            return ratio
        elapsed = [
            (now - running.started_at) * 1000 / max(1.0, running.selected.work.cost_ms)
            for running in self._running.values()
        ]
        return max(ratio, statistics.median_low(elapsed))

    def _estimate_start_ms(self, ahead_ms: float, now: float) -> float:
        """Return when work gets a slot that has so much predicted service before it."""
        ratio = self._estimator.compute_ratio(now)
        remaining_ms = [
            estimator.estimate_remaining_ms(
                running.selected.work.cost_ms * ratio, (now - running.started_at) * 1000
            )
            for running in self._running.values()
        ]
        return estimator.estimate_start_ms(self._slots, remaining_ms, ahead_ms * ratio)

    def _make_room(self, newcomer: work.Work, now: float) -> bool:
        """Displace work if the queue is full; return whether there is a place."""
        if len(self._dropped) >= self._max_waiting:
            return False
        if len(self._waiting) < self._max_waiting:
            return True
        evicted = self._waiting.pop_evicted(newcomer, self._max_waiting)
        if evicted is None:
            return False
        self._drop(evicted, work.QUEUE_FULL, now)
        return True

    def _drop_expired(self, now: float) -> None:
        for item in self._waiting.pop_expired(now):
            self._drop(item, work.TOO_LATE, now)

    def _drop(self, item: work.Work, reason: str, now: float) -> None:
        wait_ms = self._estimate_start_ms(self._waiting.estimate_ahead_ms(item), now)
        self._dropped.append(work.DroppedWork(item, self._refuse(reason, wait_ms)))

    def _start_next(self, now: float) -> work.Work | None:
        self._drop_expired(now)
        if len(self._running) >= self._slots:
            return None
        while (selected := self._waiting.peek_next()) is not None:
            if not self._would_be_late(selected.work, now):
                self._waiting.pop(selected)
                self._running[selected.work.work_id] = _RunningWork(selected, now)
                return selected.work
            self._waiting.remove(selected.work.work_id)
            self._drop(selected.work, work.TOO_LATE, now)
        return None

    def _would_be_late(self, item: work.Work, now: float) -> bool:
        """
        Tell whether work would be late even if it ran at once, and something else could run.

        Under overload all that waits is near its deadline. Run in turn, much of it would end just
        too late and waste the slot that the next one needs to end in time.
        """
        if self._waiting.count_class(item.priority) < 2:
            return False
        return self._measure_lateness_ms(item, 0.0, now) > 0.0

    def _refuse(self, reason: str, wait_ms: float) -> work.Refusal:
        """
        Return a refusal with the time after which the same work may be let in.

        The jitter spreads those that were refused together over as long again as they wait.
        """
        retry_after_ms = max(_MIN_RETRY_AFTER_MS, wait_ms) * (1.0 + self._jitter.random())
        return work.Refusal(reason, int(min(_MAX_RETRY_AFTER_MS, retry_after_ms)))
