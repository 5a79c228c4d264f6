"""Sums of the entries' counters per customer and operation, and per customer and trainer."""

import collections
import dataclasses

_PREFIX = "customer"
_TRAINER = "trainer"
_REFUSED = "refused"


@dataclasses.dataclass(slots=True)
class OperationCounts:
    """Counts of one operation's requests, by outcome."""

    answered: int = 0
    """Requests that were answered in time."""
    late: int = 0
    unknown: int = 0
    failed: int = 0
    refused: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    """Requests that were refused without being run, by reason."""

    @property
    def requests(self) -> int:
        """Number of requests of all outcomes."""
        return self.answered + self.late + self.unknown + self.failed + self.refused.total()


@dataclasses.dataclass(slots=True)
class TrainerCounts:
    """Counts of one trainer's samples and of its idle time."""

    delivered: int = 0
    stale: int = 0
    remade: int = 0
    idle_ms: int = 0


_OPERATION_FIELDS = ("answered", "late", "unknown", "failed")
_TRAINER_FIELDS = tuple(field.name for field in dataclasses.fields(TrainerCounts))


class ServiceCounts:
    """Counts summed over entries; their number is bounded by the size of an entry's answer."""

    def __init__(self) -> None:
        self._operations: dict[tuple[str, str], OperationCounts] = {}
        self._trainers: dict[tuple[str, str], TrainerCounts] = {}

    @property
    def operations(self) -> dict[tuple[str, str], OperationCounts]:
        """Counts by (customer, operation)."""
        return self._operations

    @property
    def trainers(self) -> dict[tuple[str, str], TrainerCounts]:
        """Counts by (customer, trainer)."""
        return self._trainers

    def add(self, counts: dict[str, int]) -> None:
        """Add one entry's counters, by metric name; ignore those that are not per customer."""
        for name, amount in counts.items():
            parts = name.split(".")
            if parts[0] != _PREFIX or len(parts) < 4:
                continue
            if parts[2] == _TRAINER and len(parts) == 5:
                self._add_trainer(parts[1], parts[3], parts[4], amount)
            else:
                self._add_operation(parts[1], parts[2], parts[3:], amount)

    def _add_operation(
        self, customer: str, operation: str, outcome: list[str], amount: int
    ) -> None:
        if outcome[0] not in (*_OPERATION_FIELDS, _REFUSED):
            return
        counts = self._operations.setdefault((customer, operation), OperationCounts())
        if outcome[0] == _REFUSED:
            counts.refused[".".join(outcome[1:]) or "other"] += amount
        else:
            setattr(counts, outcome[0], getattr(counts, outcome[0]) + amount)

    def _add_trainer(self, customer: str, trainer: str, name: str, amount: int) -> None:
        if name in _TRAINER_FIELDS:
            counts = self._trainers.setdefault((customer, trainer), TrainerCounts())
            setattr(counts, name, getattr(counts, name) + amount)
