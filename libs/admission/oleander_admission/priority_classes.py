"""Waiting work by priority class: strict priority with a minimum share for each class."""

import dataclasses

from oleander_admission import fairness, work
from oleander_contracts import contract

PRIORITIES = tuple(sorted(contract.Priority))

_MIN_SHARE = 0.03
"""Fraction of the service time that each class gets even while more urgent work waits."""
_RESERVED_FRACTION = 0.05
"""Fraction of the queue's places that only work of one class may use; the same for each class."""


def find_priority_class(priority: int) -> contract.Priority:
    """Return the nearest priority class, because peers may send any number."""
    return contract.Priority(min(PRIORITIES[-1], max(PRIORITIES[0], priority)))


@dataclasses.dataclass(slots=True, frozen=True)
class Selection:
    """The work to run next, and why it was selected."""

    work: work.Work
    by_min_share: bool
    """Whether the minimum share of its class put it ahead of more urgent work."""


class WaitingWork:
    """
    The waiting work of all classes; not thread-safe, and bounded by its caller.

    Strict priority would starve the less urgent classes: a background sync that never got a slot
    under a steady load of bookings timed out each night. Whenever more urgent work runs, each
    waiting class is therefore credited with a few percent of that work's service time. Once the
    credit covers the next work of the class, this next work runs first. The minimum share is
    counted in service time and not in work items, so that long work can't get more than this
    share of the slots.
    """

    def __init__(self) -> None:
        self._queues = {priority: fairness.FairQueue() for priority in PRIORITIES}
        self._credit_ms = dict.fromkeys(PRIORITIES, 0.0)
        self._sequence = 0
        self._next_expiry = float("inf")
        """Lower bound of the deadlines of all waiting work."""

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def __contains__(self, work_id: str) -> bool:
        return any(work_id in queue for queue in self._queues.values())

    def add(self, item: work.Work) -> None:
        """Append work to its customer's queue in its class."""
        self._sequence += 1
        self._queues[find_priority_class(item.priority)].add(
            fairness.QueuedWork(item, self._sequence)
        )
        self._next_expiry = min(self._next_expiry, item.deadline.expires_at)

    def remove(self, work_id: str) -> bool:
        """Remove work; return whether it waited."""
        for queue in self._queues.values():
            if work_id in queue:
                queue.remove(work_id)
                return True
        return False

    def peek_next(self) -> Selection | None:
        """Return the work to run next, or None if none waits."""
        waiting = [priority for priority in PRIORITIES if self._queues[priority]]
        if not waiting:
            return None
        priority = self._choose_class(waiting)
        return Selection(self._queues[priority].peek().work, priority != waiting[0])

    def pop(self, selected: Selection) -> None:
        """Remove the work that `peek_next` returned, charging its customer the predicted cost."""
        priority = find_priority_class(selected.work.priority)
        self._queues[priority].pop()
        self._update_credits(priority, selected.work.cost_ms, selected.by_min_share)

    def count_class(self, priority: int) -> int:
        """Return the number of work items of a class that wait."""
        return len(self._queues[find_priority_class(priority)])

    def pop_expired(self, now: float) -> list[work.Work]:
        """Remove and return all work whose deadline has passed."""
        if now < self._next_expiry:
            return []
        entries = [entry for queue in self._queues.values() for entry in queue.entries]
        expired = [entry.work for entry in entries if now >= entry.work.deadline.expires_at]
        for item in expired:
            self.remove(item.work_id)
        later = (entry.work.deadline.expires_at for entry in entries)
        self._next_expiry = min((expiry for expiry in later if expiry > now), default=float("inf"))
        return expired

    def pop_all(self) -> list[work.Work]:
        """Remove and return all work."""
        waiting = [entry.work for queue in self._queues.values() for entry in queue.entries]
        for item in waiting:
            self.remove(item.work_id)
        return waiting

    def pop_evicted(self, newcomer: work.Work, max_waiting: int) -> work.Work | None:
        """Remove and return the work to evict for new work, or None if there is none to evict."""
        victim = self._find_evictable(newcomer, int(max_waiting * _RESERVED_FRACTION))
        if victim is None:
            return None
        self.remove(victim.work.work_id)
        return victim.work

    def adjust_charge(self, item: work.Work, extra_ms: float) -> None:
        """Charge a customer the service time beyond the predicted cost; refund it if negative."""
        queue = self._queues[find_priority_class(item.priority)]
        queue.adjust_charge(item.customer, item.share_percent, extra_ms)

    def estimate_ahead_ms(self, item: work.Work) -> float:
        """Return the predicted service time of all work that runs before this new work."""
        priority = find_priority_class(item.priority)
        own_ms = self._queues[priority].estimate_ahead_ms(item)
        return self._estimate_ahead_ms(priority, own_ms, item.cost_ms)

    def estimate_class_ahead_ms(self, priority: contract.Priority) -> float:
        """Return the predicted service time before new work that is last in its class."""
        all_ms = sum(queue.backlog_ms for queue in self._queues.values())
        mean_ms = all_ms / max(1, len(self))
        return self._estimate_ahead_ms(priority, self._queues[priority].backlog_ms, mean_ms)

    def _estimate_ahead_ms(
        self, priority: contract.Priority, own_ms: float, cost_ms: float
    ) -> float:
        urgent = [self._queues[item] for item in PRIORITIES if item < priority]
        urgent_ms = sum(queue.backlog_ms for queue in urgent)
        lower = sum(1 for item in PRIORITIES if item > priority and self._queues[item])
        ahead_ms = (urgent_ms + own_ms) / (1.0 - _MIN_SHARE * lower)
        piece_ms = urgent_ms / max(1, sum(len(queue) for queue in urgent))
        earning_ms = max(0.0, own_ms + cost_ms - self._credit_ms[priority]) / _MIN_SHARE
        return min(ahead_ms, own_ms + earning_ms + piece_ms)

    def _choose_class(self, waiting: list[contract.Priority]) -> contract.Priority:
        for priority in reversed(waiting[1:]):
            if self._credit_ms[priority] >= self._queues[priority].peek().work.cost_ms:
                return priority
        return waiting[0]

    def _update_credits(
        self, served: contract.Priority, cost_ms: float, by_min_share: bool
    ) -> None:
        """
        Credit waiting classes for the service time of more urgent work.

        A class without waiting work loses its credit, so that no class can save up.
        """
        if by_min_share:
            self._credit_ms[served] -= cost_ms
        for priority in PRIORITIES:
            if not self._queues[priority]:
                self._credit_ms[priority] = 0.0
            elif priority > served:
                self._credit_ms[priority] += cost_ms * _MIN_SHARE

    def _find_evictable(self, newcomer: work.Work, reserved: int) -> fairness.QueuedWork | None:
        own_class = find_priority_class(newcomer.priority)
        is_reserved = len(self._queues[own_class]) < reserved
        for priority in reversed(PRIORITIES):
            queue = self._queues[priority]
            if priority == own_class and not is_reserved:
                return queue.find_evictable(newcomer)
            if priority != own_class and len(queue) > reserved:
                return queue.find_newest()
        return None
