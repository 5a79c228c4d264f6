"""Weighted deficit round robin over the customers of one priority class."""

import collections
import dataclasses
import math

from oleander_admission import work

_QUANTUM_MS = 0.1
"""Service time credited per round and percent of share; small, so that customers alternate."""
_MAX_FLOWS = 1000
"""Bounds the memory for customers that have nothing waiting."""
_MIN_WEIGHT = 1


@dataclasses.dataclass(slots=True)
class QueuedWork:
    """Waiting work and its sequence number of arrival."""

    work: work.Work
    sequence: int


@dataclasses.dataclass(slots=True)
class _Flow:
    """The waiting work of one customer, and its credit of service time."""

    customer: str
    weight: int
    deficit_ms: float = 0.0
    """Unused credit; negative after work that took longer than predicted."""
    backlog_ms: float = 0.0
    entries: collections.OrderedDict[str, QueuedWork] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    @property
    def oldest(self) -> QueuedWork:
        """The entry that arrived first."""
        return next(iter(self.entries.values()))

    @property
    def newest(self) -> QueuedWork:
        """The entry that arrived last."""
        return next(reversed(self.entries.values()))

    @property
    def rounds_until_eligible(self) -> int:
        """Rounds until the credit covers the predicted cost of the oldest entry."""
        missing_ms = self.oldest.work.cost_ms - self.deficit_ms
        return max(0, math.ceil(missing_ms / (_QUANTUM_MS * self.weight)))

    def add_credit(self, rounds: int) -> None:
        """Add the credit of a number of rounds."""
        self.deficit_ms += _QUANTUM_MS * self.weight * rounds

    def remove(self, work_id: str) -> QueuedWork:
        """Remove and return an entry, which must be waiting."""
        entry = self.entries.pop(work_id)
        self.backlog_ms -= entry.work.cost_ms
        if not self.entries:
            self.backlog_ms = 0.0
        return entry


class FairQueue:
    """
    The waiting work of one priority class; not thread-safe.

    The caller bounds the number of entries. A customer with nothing waiting is kept only while its
    credit is negative (a debt) and at most 1000 customers are kept; beyond that its debt is
    dropped. All debts are dropped once no customer has work waiting, because no other customer is
    then at a disadvantage.
    """

    def __init__(self) -> None:
        self._flows: collections.OrderedDict[str, _Flow] = collections.OrderedDict()
        self._customers: dict[str, str] = {}
        """Customer by the id of its waiting work."""

    def __len__(self) -> int:
        return len(self._customers)

    def __contains__(self, work_id: str) -> bool:
        return work_id in self._customers

    @property
    def backlog_ms(self) -> float:
        """The predicted service time of all waiting work."""
        return sum(flow.backlog_ms for flow in self._flows.values())

    @property
    def entries(self) -> list[QueuedWork]:
        """All waiting work, in no particular order."""
        return [entry for flow in self._flows.values() for entry in flow.entries.values()]

    def add(self, entry: QueuedWork) -> None:
        """Append work to its customer's queue."""
        item = entry.work
        weight = max(_MIN_WEIGHT, item.share_percent)
        flow = self._flows.get(item.customer)
        if flow is None:
            flow = self._flows[item.customer] = _Flow(item.customer, weight)
        flow.weight = weight
        flow.entries[item.work_id] = entry
        flow.backlog_ms += item.cost_ms
        self._customers[item.work_id] = item.customer

    def peek(self) -> QueuedWork:
        """Return the entry to run next; the queue must not be empty."""
        return self._select_flow().oldest

    def pop(self) -> QueuedWork:
        """Remove the entry to run next and charge its customer; the queue must not be empty."""
        flow = self._select_flow()
        flow.deficit_ms -= flow.oldest.work.cost_ms
        return self.remove(flow.oldest.work.work_id)

    def remove(self, work_id: str) -> QueuedWork:
        """Remove and return an entry, which must be waiting."""
        flow = self._flows[self._customers.pop(work_id)]
        entry = flow.remove(work_id)
        if not self._customers:
            self._flows.clear()
        else:
            self._remove_idle(flow)
        return entry

    def find_newest(self) -> QueuedWork:
        """Return the entry that arrived last; the queue must not be empty."""
        flows = (flow for flow in self._flows.values() if flow.entries)
        return max((flow.newest for flow in flows), key=lambda entry: entry.sequence)

    def find_evictable(self, newcomer: work.Work) -> QueuedWork | None:
        """
        Return the entry to evict for new work of this class, if any.

        It is the newest entry of the customer with the longest backlog relative to its weight,
        provided that this backlog without the entry is not below that of the new work's customer.
        """
        own = self._flows.get(newcomer.customer)
        weight = max(_MIN_WEIGHT, newcomer.share_percent)
        backlog_ms = newcomer.cost_ms + (own.backlog_ms if own is not None else 0.0)
        flows = [flow for flow in self._flows.values() if flow.entries]
        longest = max(flows, key=lambda flow: flow.backlog_ms / flow.weight, default=None)
        if longest is None:
            return None
        rest_ms = longest.backlog_ms - longest.newest.work.cost_ms
        return longest.newest if rest_ms / longest.weight >= backlog_ms / weight else None

    def adjust_charge(self, customer: str, weight: int, extra_ms: float) -> None:
        """Charge a customer the service time beyond the predicted cost; refund it if negative."""
        if not self._customers:
            return
        flow = self._flows.get(customer)
        if flow is None:
            flow = self._flows[customer] = _Flow(customer, max(_MIN_WEIGHT, weight))
        flow.deficit_ms -= extra_ms
        self._remove_idle(flow)

    def estimate_ahead_ms(self, newcomer: work.Work) -> float:
        """Return the predicted service time of the work that runs before this new work."""
        weight = max(_MIN_WEIGHT, newcomer.share_percent)
        own = self._flows.get(newcomer.customer) or _Flow(newcomer.customer, weight)
        rounds = (own.backlog_ms + newcomer.cost_ms - own.deficit_ms) / weight
        others = (flow for flow in self._flows.values() if flow is not own)
        return own.backlog_ms + sum(
            min(flow.backlog_ms, max(0.0, flow.deficit_ms + flow.weight * rounds))
            for flow in others
        )

    def _select_flow(self) -> _Flow:
        self._skip_rounds()
        while True:
            flow = next(iter(self._flows.values()))
            if flow.entries and not flow.rounds_until_eligible:
                return flow
            self._flows.move_to_end(flow.customer)
            following = next(iter(self._flows.values()))
            following.add_credit(1)
            self._remove_idle(following)

    def _skip_rounds(self) -> None:
        """Add the credit of all rounds in which no customer could run anything."""
        flows = [flow for flow in self._flows.values() if flow.entries]
        rounds = min(flow.rounds_until_eligible for flow in flows) - 1
        if rounds <= 0:
            return
        for flow in list(self._flows.values()):
            flow.add_credit(rounds)
            self._remove_idle(flow)

    def _remove_idle(self, flow: _Flow) -> None:
        """Remove a customer with nothing waiting; one in debt only if too many are kept."""
        if flow.entries:
            return
        if flow.deficit_ms >= 0.0 or len(self._flows) > _MAX_FLOWS:
            self._flows.pop(flow.customer, None)
