"""The contract of one customer: share, operations and trainers."""

import dataclasses
import enum


class Priority(enum.IntEnum):
    """The order in which a busy backend server runs requests; lower values run first."""

    CRITICAL = 0
    INTERACTIVE = 1
    SAMPLING = 2
    BACKGROUND = 3


class Objective(enum.Enum):
    """Whether a trainer prefers fresher samples or less idle time where both conflict."""

    STALENESS = "staleness"
    IDLE_TIME = "idle-time"


@dataclasses.dataclass(slots=True, frozen=True)
class Operation:
    """A type of request that a customer may send."""

    name: str
    backend: str
    """The group of backend servers that runs the requests, by its name in the host list."""
    priority: Priority
    repeatable: bool
    """Whether one request may run more than once; otherwise it runs at most once."""
    timeout_ms: int
    """The time allowed for an answer; an answer that takes longer counts as late."""
    worth: int
    """The weight of one answered request in the customer's service percentage."""
    generates: bool
    """Whether the backend is a model engine that streams generated tokens."""


@dataclasses.dataclass(slots=True, frozen=True)
class TrainerTerms:
    """The contract terms of one trainer of a customer."""

    name: str
    backend: str
    model: str
    staleness_bound: int
    """The maximum number of weight versions by which a delivered sample lags the trainer."""
    objective: Objective
    hedge_percent: int
    """The maximum additional generation for stragglers (the slowest generations of a step), in
    percent of the step's expected tokens."""


@dataclasses.dataclass(slots=True, frozen=True)
class Contract:
    """All contract terms of one customer."""

    customer: str
    share_percent: int
    """The customer's share of engine time when demand exceeds capacity."""
    retry_percent: int
    """Retries allowed, in percent of first attempts."""
    operations: tuple[Operation, ...]
    trainers: tuple[TrainerTerms, ...]

    def find_operation(self, name: str) -> Operation | None:
        """Return the operation with a name, or None."""
        return next((item for item in self.operations if item.name == name), None)

    def find_trainer(self, name: str) -> TrainerTerms | None:
        """Return the trainer with a name, or None."""
        return next((item for item in self.trainers if item.name == name), None)
