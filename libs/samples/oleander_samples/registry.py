"""Registry of the steps that this entry collects: the newest step of each trainer."""

import collections
import collections.abc
import dataclasses
import enum
import threading

import expression

from oleander_base import clock, identifiers, invariants
from oleander_contracts import contract
from oleander_samples import collector, scheduler, steps

MAX_TRAINERS = 256
"""Maximum number of trainers whose newest incarnation and step are remembered."""
MAX_OPEN_STEPS = 32
"""Maximum number of steps that are collected at the same time."""


class RefusalReason(enum.Enum):
    """Why the registration of a step is refused."""

    SUPERSEDED = "superseded"
    """A newer incarnation of the trainer, or a later step of this incarnation, is known."""
    CONFLICT = "conflict"
    """The step is already registered with different groups."""
    TOO_MANY = "too-many"
    """Too many steps are open; the trainer should retry later or at another entry."""


@dataclasses.dataclass(slots=True, frozen=True)
class StepRefusal:
    """A refused registration; it has changed nothing in the registry."""

    reason: RefusalReason
    detail: str


@dataclasses.dataclass(slots=True)
class _TrainerState:
    """The newest incarnation and step of a trainer, and the step's collector while it is open."""

    incarnation: int
    step: int = -1
    open_step: collector.StepCollector | None = None


class StepRegistry:
    """
    The step collectors of this entry; thread-safe and bounded.

    A trainer has one open step: registering a higher step or incarnation closes the older one.
    At `max_open_steps`, a step whose trainer has been silent for long is closed to admit a new
    one; without such a step the new one is refused. At `max_trainers`, the least recently updated
    trainer without an open step is evicted. An older incarnation of an evicted trainer is served
    again until this entry learns of the newer one. This wastes work but delivers no sample twice,
    because each answer depends only on the samples that the pulling incarnation says it holds.
    """

    def __init__(
        self,
        read_now: collections.abc.Callable[[], float] = clock.read_now,
        max_trainers: int = MAX_TRAINERS,
        max_open_steps: int = MAX_OPEN_STEPS,
    ) -> None:
        invariants.require(
            max_open_steps < max_trainers,
            "registry-bounds",
            "the limit of open steps must be below the limit of trainers",
        )
        self._read_now = read_now
        self._max_trainers = max_trainers
        self._max_open_steps = max_open_steps
        self._lock = threading.Lock()
        self._trainers: dict[tuple[str, str], _TrainerState] = {}
        self._cancellations: collections.deque[str] = collections.deque(
            maxlen=scheduler.MAX_PENDING_CANCELLATIONS
        )

    @property
    def collectors(self) -> tuple[collector.StepCollector, ...]:
        """The collectors of all open steps."""
        with self._lock:
            return tuple(self._list_open())

    def register(
        self, step: steps.Step, terms: contract.TrainerTerms
    ) -> expression.Result[collector.StepCollector, StepRefusal]:
        """
        Register a step and return its collector, or the reason why it is refused.

        A repeated registration only updates the trainer's version and held samples.
        """
        with self._lock:
            trainer = self._trainers.get((step.customer, step.trainer))
            if trainer is None or step.incarnation > trainer.incarnation:
                return self._open(step, terms)
            if step.incarnation < trainer.incarnation:
                return _refuse(RefusalReason.SUPERSEDED, f"incarnation {trainer.incarnation}")
            if step.step < trainer.step:
                return _refuse(RefusalReason.SUPERSEDED, f"step {trainer.step}")
            if step.step > trainer.step or trainer.open_step is None:
                return self._open(step, terms)
            return _update_registered(trainer.open_step, step)

    def find(self, customer: str, trainer: str, step: int) -> collector.StepCollector | None:
        """Return the collector of a step, or None if the step is not open."""
        with self._lock:
            known = self._trainers.get((customer, trainer))
            if known is None or known.step != step:
                return None
            return known.open_step

    def record_incarnation(self, customer: str, trainer: str, incarnation: int) -> None:
        """Record an incarnation seen at any entry; a newer one closes the trainer's step."""
        with self._lock:
            trainer_state = self._trainers.get((customer, trainer))
            if trainer_state is not None and incarnation <= trainer_state.incarnation:
                return
            self._store_trainer((customer, trainer), _TrainerState(incarnation))

    def delete(self, customer: str, trainer: str, step: int) -> bool:
        """Close a step; return whether it was open."""
        with self._lock:
            known = self._trainers.get((customer, trainer))
            if known is None or known.step != step or known.open_step is None:
                return False
            self._close(known)
            return True

    def take_cancellations(self) -> list[str]:
        """Return and clear the IDs of work to cancel in open and closed steps."""
        with self._lock:
            for item in self._list_open():
                self._cancellations.extend(item.take_cancellations())
            taken = list(self._cancellations)
            self._cancellations.clear()
            return taken

    def close(self) -> None:
        """Close all steps."""
        with self._lock:
            for trainer in self._trainers.values():
                self._close(trainer)

    def _open(
        self, step: steps.Step, terms: contract.TrainerTerms
    ) -> expression.Result[collector.StepCollector, StepRefusal]:
        key = (step.customer, step.trainer)
        if not self._make_room(key):
            return _refuse(RefusalReason.TOO_MANY, f"{self._max_open_steps} steps are open")
        seed = identifiers.hash_text(f"{step.customer}/{step.trainer}/{step.step}")
        opened = collector.StepCollector(step, terms, seed, self._read_now)
        self._store_trainer(key, _TrainerState(step.incarnation, step.step, opened))
        return expression.Ok(opened)

    def _make_room(self, key: tuple[str, str]) -> bool:
        """Close an abandoned step if too many are open; return whether one more may open."""
        others = [
            item
            for name, item in self._trainers.items()
            if name != key and item.open_step is not None
        ]
        if len(others) < self._max_open_steps:
            return True
        for item in others:
            if item.open_step is not None and item.open_step.is_abandoned:
                self._close(item)
                return True
        return False

    def _store_trainer(self, key: tuple[str, str], trainer: _TrainerState) -> None:
        """
        Store a trainer's state as the most recently updated one.

        If the table is full, the least recently updated trainer without an open step is evicted.
        """
        known = self._trainers.pop(key, None)
        if known is not None:
            self._close(known)
        if len(self._trainers) >= self._max_trainers:
            idle = [name for name, item in self._trainers.items() if item.open_step is None]
            del self._trainers[idle[0]]
        self._trainers[key] = trainer

    def _close(self, trainer: _TrainerState) -> None:
        """Close a trainer's step, if it has an open one, and keep its cancellations."""
        if trainer.open_step is not None:
            trainer.open_step.close()
            self._cancellations.extend(trainer.open_step.take_cancellations())
            trainer.open_step = None

    def _list_open(self) -> list[collector.StepCollector]:
        return [item.open_step for item in self._trainers.values() if item.open_step is not None]


def _update_registered(
    known: collector.StepCollector, step: steps.Step
) -> expression.Result[collector.StepCollector, StepRefusal]:
    """Apply a repeated registration, or refuse it if its groups differ."""
    if known.digest != step.digest:
        return _refuse(RefusalReason.CONFLICT, "the step was registered with other groups")
    if step.held is None:
        known.record_version(step.version)
    else:
        known.record_held(step.held, step.version)
    return expression.Ok(known)


def _refuse(
    reason: RefusalReason, detail: str
) -> expression.Result[collector.StepCollector, StepRefusal]:
    return expression.Error(StepRefusal(reason, detail))
