"""Deficit round robin: customers of one priority class share the service time by weight."""

import collections
import dataclasses
import math

from oleander_admission import work

_QUANTUM_MS = 0.1
"""Service time that one percent of share earns in a round; small, so that turns are short."""
_MAX_FLOWS = 1000
_MIN_WEIGHT = 1


@dataclasses.dataclass(slots=True)
class QueuedWork:
    """Waiting work and the order in which it came."""

    work: work.Work
    sequence: int


@dataclasses.dataclass(slots=True)
class _Flow:
    """The waiting work of one customer, and the service time that it has earned."""

    customer: str
    weight: int
    deficit_ms: float = 0.0
    """Earned and not yet used; negative after work that took longer than predicted."""
    backlog_ms: float = 0.0
    entries: collections.OrderedDict[str, QueuedWork] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    @property
    def oldest(self) -> QueuedWork:
        """The oldest entry."""
        return next(iter(self.entries.values()))

    @property
    def newest(self) -> QueuedWork:
        """The last entry."""
        return next(reversed(self.entries.values()))

    @property
    def rounds_until_eligible(self) -> int:
        """How many more rounds until the oldest entry may go."""
        missing_ms = self.oldest.work.cost_ms - self.deficit_ms
        return max(0, math.ceil(missing_ms / (_QUANTUM_MS * self.weight)))

    def add_credit(self, rounds: int) -> None:
        """Add the service time of some rounds."""
        self.deficit_ms += _QUANTUM_MS * self.weight * rounds

    def remove(self, work_id: str) -> QueuedWork:
        """Take an entry out."""
        entry = self.entries.pop(work_id)
        self.backlog_ms -= entry.work.cost_ms
        if not self.entries:
            self.backlog_ms = 0.0
        return entry


class FairQueue:
    """
    The waiting work of one priority class; not thread-safe by itself.

    The number of entries is the caller's to bound. A customer with nothing waiting is remembered
    only while it owes service time and while at most 1000 customers are known; past that its debt
    is forgiven. All debts are forgiven once nobody waits, since then nobody is kept from a turn.
    """

    def __init__(self) -> None:
        self._flows: collections.OrderedDict[str, _Flow] = collections.OrderedDict()
        self._customers: dict[str, str] = {}
        """The customer of each waiting work id."""

    def __len__(self) -> int:
        return len(self._customers)

    def __contains__(self, work_id: str) -> bool:
        return work_id in self._customers

    @property
    def backlog_ms(self) -> float:
        """The predicted service time of all that waits."""
        return sum(flow.backlog_ms for flow in self._flows.values())

    @property
    def entries(self) -> list[QueuedWork]:
        """All that waits, in no promised order."""
        return [entry for flow in self._flows.values() for entry in flow.entries.values()]

    def add(self, entry: QueuedWork) -> None:
        """Put work at the end of its customer's line."""
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
        """Return the entry whose turn it is; there must be one."""
        return self._select_flow().oldest

    def pop(self) -> QueuedWork:
        """Take out the entry whose turn it is, at its customer's cost; there must be one."""
        flow = self._select_flow()
        flow.deficit_ms -= flow.oldest.work.cost_ms
        return self.remove(flow.oldest.work.work_id)

    def remove(self, work_id: str) -> QueuedWork:
        """Take out an entry that must be waiting."""
        flow = self._flows[self._customers.pop(work_id)]
        entry = flow.remove(work_id)
        if not self._customers:
            self._flows.clear()
        else:
            self._remove_idle(flow)
        return entry

    def find_newest(self) -> QueuedWork:
        """Return the entry that came last; there must be one."""
        flows = (flow for flow in self._flows.values() if flow.entries)
        return max((flow.newest for flow in flows), key=lambda entry: entry.sequence)

    def find_evictable(self, newcomer: work.Work) -> QueuedWork | None:
        """Return the newest entry of a customer whose line is longer by weight, if any."""
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
        """Charge what work took beyond its predicted cost, or give back what it did not take."""
        if not self._customers:
            return
        flow = self._flows.get(customer)
        if flow is None:
            flow = self._flows[customer] = _Flow(customer, max(_MIN_WEIGHT, weight))
        flow.deficit_ms -= extra_ms
        self._remove_idle(flow)

    def estimate_ahead_ms(self, newcomer: work.Work) -> float:
        """Return the predicted service time that goes before new work of a customer."""
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
        """Let all earn at once what they would in rounds that bring nobody a turn."""
        flows = [flow for flow in self._flows.values() if flow.entries]
        rounds = min(flow.rounds_until_eligible for flow in flows) - 1
        if rounds <= 0:
            return
        for flow in list(self._flows.values()):
            flow.add_credit(rounds)
            self._remove_idle(flow)

    def _remove_idle(self, flow: _Flow) -> None:
        """Forget a customer with nothing waiting, and so what it earned, unless it owes."""
        if flow.entries:
            return
        if flow.deficit_ms >= 0.0 or len(self._flows) > _MAX_FLOWS:
            self._flows.pop(flow.customer, None)
