"""The terms between an operator and one customer."""

import dataclasses
import enum


class Priority(enum.IntEnum):
    """Who goes first when a backend server is short; a lower value goes first."""

    CRITICAL = 0
    INTERACTIVE = 1
    SAMPLING = 2
    BACKGROUND = 3


class Objective(enum.Enum):
    """What a trainer's customer weighs more when the two conflict."""

    STALENESS = "staleness"
    IDLE_TIME = "idle-time"


@dataclasses.dataclass(slots=True, frozen=True)
class Operation:
    """One kind of request that a customer may send."""

    name: str
    backend: str
    """The group of backend servers that runs it, as the host list names it."""
    priority: Priority
    repeatable: bool
    """Whether running it twice does no harm; if not, it runs at most once."""
    timeout_ms: int
    """An answer after this many milliseconds is late."""
    worth: int
    """The weight of one answered request in the customer's service figure."""
    generates: bool
    """Whether a model engine streams the answer."""


@dataclasses.dataclass(slots=True, frozen=True)
class TrainerTerms:
    """What one trainer of a customer is promised."""

    name: str
    backend: str
    model: str
    staleness_bound: int
    """How many weight versions behind the trainer a sample may be when delivered."""
    objective: Objective
    hedge_percent: int
    """How much extra generation, in percent of the step, stragglers may cost."""


@dataclasses.dataclass(slots=True, frozen=True)
class Contract:
    """Everything that one customer was promised."""

    customer: str
    share_percent: int
    """The part of the engines' time that is this customer's when all of it is wanted."""
    retry_percent: int
    """Retries allowed, in percent of fresh requests."""
    operations: tuple[Operation, ...]
    trainers: tuple[TrainerTerms, ...]

    def find_operation(self, name: str) -> Operation | None:
        """Return the operation of that name, if the customer has it."""
        return next((item for item in self.operations if item.name == name), None)

    def find_trainer(self, name: str) -> TrainerTerms | None:
        """Return the trainer of that name, if the customer has it."""
        return next((item for item in self.trainers if item.name == name), None)
