"""The queue in front of a backend server's slots: admission, scheduling and eviction."""

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
"""Minimum number of running work items for their median overrun to indicate a slow server."""
_MIN_RETRY_AFTER_MS = 50
_MAX_RETRY_AFTER_MS = 60_000


@dataclasses.dataclass(slots=True)
class _RunningWork:
    """Work that was taken and holds a slot."""

    selected: priority_classes.Selection
    started_at: float


class AdmissionQueue:
    """
    Waiting and running work of one backend server; thread-safe.

    At most `max_waiting` items of work wait. When the queue is full, new work evicts the newest
    work of the least urgent class below its own, or that of a customer of its own class with a
    longer backlog relative to its share; otherwise the new work is refused. One in twenty places
    is reserved for each class. Dropped work is kept until `take_dropped`; once `max_waiting`
    dropped items are not collected, all new work is refused, which bounds the memory.
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
        """Running work by its id, in the order in which it was taken."""
        self._dropped: list[work.DroppedWork] = []
        self._estimator = estimator.ServiceEstimator()
        self._is_leaving = False

    @property
    def queued(self) -> int:
        """Number of work items that wait."""
        with self._condition:
            return len(self._waiting)

    @property
    def running(self) -> int:
        """Number of work items that were taken and not finished."""
        with self._condition:
            return len(self._running)

    def submit(self, item: work.Work) -> expression.Result[None, work.Refusal]:
        """
        Accept or refuse work without blocking; refused work is never run.

        Work is refused if the queue is closed, if it is expected to end after its deadline, or if
        the queue is full. Work whose predicted cost alone exceeds the deadline is refused even by
        an idle queue, so callers without measurements should predict a low cost.
        Raises if work with this `work_id` already waits or runs.
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
        """Wait for work and a free slot to run it; return None once `seconds` have passed."""
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
        """
        Return accepted work dropped since the last call.

        Call this often, because the callers that sent the work are waiting for an answer.
        """
        with self._condition:
            self._drop_expired(self._read_now())
            dropped = self._dropped
            self._dropped = []
            return dropped

    def finish(self, work_id: str, service_ms: float, completed: bool = True) -> None:
        """
        Free the slot of taken work, and charge its customer the measured service time.

        Pass `completed=False` for work that was cancelled or preempted, so that its time is not
        used to estimate service times. Unknown ids are ignored, so it is safe to finish twice.
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
        """Remove work that still waits; return whether it did."""
        with self._condition:
            return self._waiting.remove(work_id)

    def find_preemptible(self, priority: int) -> str | None:
        """
        Return the id of running work to preempt for work of this priority, if no slot is free.

        Work that was selected by the minimum share of its class is never preempted. Otherwise it
        would be preempted whenever more urgent work waits, and none of it would ever complete.
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
        """Return the expected waiting time of new work that is last in its class."""
        with self._condition:
            ahead_ms = self._waiting.estimate_class_ahead_ms(
                priority_classes.find_priority_class(priority)
            )
            return int(self._estimate_start_ms(ahead_ms, self._read_now()))

    def close(self) -> None:
        """Refuse new work from now on; waiting and running work is not affected."""
        with self._condition:
            self._is_leaving = True

    def drop_waiting(self) -> None:
        """Drop all waiting work with the reason `LEAVING`; running work is not affected."""
        with self._condition:
            now = self._read_now()
            for item in self._waiting.pop_all():
                self._drop(item, work.LEAVING, now)

    def _measure_lateness_ms(self, item: work.Work, wait_ms: float, now: float) -> float:
        """Return how long after its deadline work would end; negative if it ends in time."""
        budget_ms = (item.deadline.expires_at - now) * 1000
        return wait_ms + item.cost_ms * self._estimate_cost_ratio(now) - budget_ms

    def _estimate_cost_ratio(self, now: float) -> float:
        """
        Return the factor from predicted to expected service time, with running work considered.

        When a backend server becomes slow, nothing completes for a while and the factor from
        completed work does not change, so work was admitted that could not end before its
        deadline. The median overrun of the running work shows the slowdown sooner. A single
        straggler does not affect the median, and a work item that runs alone is not counted.
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
        """Return the time until work gets a slot if `ahead_ms` of service time precedes it."""
        ratio = self._estimator.compute_ratio(now)
        remaining_ms = [
            estimator.estimate_remaining_ms(
                running.selected.work.cost_ms * ratio, (now - running.started_at) * 1000
            )
            for running in self._running.values()
        ]
        return estimator.estimate_start_ms(self._slots, remaining_ms, ahead_ms * ratio)

    def _make_room(self, newcomer: work.Work, now: float) -> bool:
        """Evict work if the queue is full; return whether there is a place for the new work."""
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
        Return whether work would miss its deadline even if it started now.

        Always False for the only waiting work of its class, as no other work would gain from its
        slot. Under overload all waiting work is near its deadline. If it ran in order, much of it
        would end slightly too late, and use the slot that the next work needs to end in time.
        """
        if self._waiting.count_class(item.priority) < 2:
            return False
        return self._measure_lateness_ms(item, 0.0, now) > 0.0

    def _refuse(self, reason: str, wait_ms: float) -> work.Refusal:
        """
        Return a refusal that says when to try again.

        The jitter spreads callers that were refused together over one to two times the wait.
        """
        retry_after_ms = max(_MIN_RETRY_AFTER_MS, wait_ms) * (1.0 + self._jitter.random())
        return work.Refusal(reason, int(min(_MAX_RETRY_AFTER_MS, retry_after_ms)))
