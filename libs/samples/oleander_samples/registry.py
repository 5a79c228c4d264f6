"""The steps that are collected here: one for each trainer, its newest."""

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
"""Trainers whose newest incarnation is remembered."""
MAX_OPEN_STEPS = 32


class RefusalReason(enum.Enum):
    """Why a step is not taken in."""

    SUPERSEDED = "superseded"
    """A newer incarnation of the trainer, or a later step of this one, was heard."""
    CONFLICT = "conflict"
    """The step was registered with other groups."""
    TOO_MANY = "too-many"
    """No room: register it again later, or at another entry."""


@dataclasses.dataclass(slots=True, frozen=True)
class StepRefusal:
    """A step that was not taken in; nothing has changed."""

    reason: RefusalReason
    detail: str


@dataclasses.dataclass(slots=True)
class _TrainerState:
    """What is known of a trainer."""

    incarnation: int
    step: int = -1
    open_step: collector.StepCollector | None = None


class StepRegistry:
    """
    The collectors of this entry; thread-safe and bounded.

    A trainer has one step at a time: a higher step or incarnation closes and forgets the older.
    When there are too many steps, those whose trainers were silent for long are forgotten, then
    new ones are refused. When there are too many trainers, one without a step is forgotten: an
    older incarnation of it would be served here again, until the newer speaks. That does no harm
    to what either holds, since each is answered by its own statement; it costs work.
    """

    def __init__(
        self,
        read_now: collections.abc.Callable[[], float] = clock.read_now,
        max_trainers: int = MAX_TRAINERS,
        max_open_steps: int = MAX_OPEN_STEPS,
    ) -> None:
        invariants.require(
            max_open_steps < max_trainers, "registry-bounds", "one must be idle at the bound"
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
        """The steps that are open."""
        with self._lock:
            return tuple(self._list_open())

    def register(
        self, step: steps.Step, terms: contract.TrainerTerms
    ) -> expression.Result[collector.StepCollector, StepRefusal]:
        """Register a step; the same one again changes nothing but what its trainer says."""
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
        """Return the collector of a step that is open."""
        with self._lock:
            known = self._trainers.get((customer, trainer))
            if known is None or known.step != step:
                return None
            return known.open_step

    def record_incarnation(self, customer: str, trainer: str, incarnation: int) -> None:
        """Take in that an incarnation of a trainer was heard, here or elsewhere."""
        with self._lock:
            known = self._trainers.get((customer, trainer))
            if known is not None and incarnation <= known.incarnation:
                return
            self._store_trainer((customer, trainer), _TrainerState(incarnation))

    def delete(self, customer: str, trainer: str, step: int) -> bool:
        """End a step; return whether it was open."""
        with self._lock:
            known = self._trainers.get((customer, trainer))
            if known is None or known.step != step or known.open_step is None:
                return False
            self._close(known)
            return True

    def take_cancellations(self) -> list[str]:
        """Return work of all steps, closed ones too, that is to be cancelled, each once."""
        with self._lock:
            for item in self._list_open():
                self._cancellations.extend(item.take_cancellations())
            taken = list(self._cancellations)
            self._cancellations.clear()
            return taken

    def close(self) -> None:
        """End all steps."""
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
        """Put a trainer at the end of the table; the first without a step makes room for it."""
        known = self._trainers.pop(key, None)
        if known is not None:
            self._close(known)
        if len(self._trainers) >= self._max_trainers:
            idle = [name for name, item in self._trainers.items() if item.open_step is None]
            del self._trainers[idle[0]]
        self._trainers[key] = trainer

    def _close(self, trainer: _TrainerState) -> None:
        if trainer.open_step is not None:
            trainer.open_step.close()
            self._cancellations.extend(trainer.open_step.take_cancellations())
            trainer.open_step = None

    def _list_open(self) -> list[collector.StepCollector]:
        return [item.open_step for item in self._trainers.values() if item.open_step is not None]


def _update_registered(
    known: collector.StepCollector, step: steps.Step
) -> expression.Result[collector.StepCollector, StepRefusal]:
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
