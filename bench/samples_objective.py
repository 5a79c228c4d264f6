"""Simulate two trainers with different objectives, staleness and idle time, on one fleet."""

import collections.abc
import dataclasses
import enum
import functools
import statistics

import samples_simulation as simulation
from oleander_contracts import contract

_VERSION_SECONDS = 15.0
_LOAD_SECONDS = 5.0
_STEPS = 4
_TRAIN_SECONDS = 10.0
_STALENESS = 0
_IDLE_TIME = 1
_BOUNDS = (2, 4)


class Rule(enum.Enum):
    """What a trainer's objective changes in the scheduling of its samples."""

    NOTHING = "nothing"
    RESTART = "staleness: a short start by older weights is made anew"
    CURRENT_PREFERRED = "staleness: engines with current weights, if one is free"
    CURRENT_REQUIRED = "staleness: engines with current weights only"
    MATCHED = "current weights: staleness first; older weights: idle time first"
    IDLE_FIRST = "idle time: its work first"
    BOTH = "idle time first; staleness: current weights, if free"


class SharedEntry(simulation.Entry):
    """The entry of one trainer, on engines shared with another trainer's entry."""

    def __init__(
        self,
        timeline: simulation.Timeline,
        workload: simulation.Workload,
        seed: int,
        fleet: "Fleet",
    ) -> None:
        super().__init__(timeline, workload, seed)
        self.fleet = fleet
        self.version = 7
        self.prefers_current = False
        self.chosen: simulation.Engine | None = None

    def dispatch(self) -> None:
        """Fill the free slots of the shared engines, for both entries."""
        self.fleet.dispatch()

    def cancel_unwanted(self) -> None:
        """Stop the generations that the collector cancelled."""
        if self.collector is not None:
            self._cancel(self.collector.take_cancellations())

    def start_next(self) -> bool:
        """Start the next sample; return False if there is none."""
        work = self.collector.next_work() if self.collector is not None else None
        if work is not None:
            self._start(work)
        return work is not None

    def _choose_engine(self, number: int) -> simulation.Engine:
        if self.chosen is not None:
            return self.chosen
        current = [item for item in self.engines if item.version >= self.version]
        free = [item for item in current if len(item.running) < self.workload.slots]
        if not (self.prefers_current and free):
            return super()._choose_engine(number)
        return min(free, key=lambda item: (len(item.running), -item.index))


class Fleet:
    """The shared engines, with eight slots each, and the two entries that use them."""

    def __init__(self, timeline: simulation.Timeline, rule: Rule, seed: int) -> None:
        self._timeline = timeline
        self._rule = rule
        self._turn = 0
        self.entries: list[SharedEntry] = []
        for index, bound in enumerate(_BOUNDS):
            restarts = index == _STALENESS and rule is Rule.RESTART
            objectives = contract.Objective
            workload = dataclasses.replace(
                simulation.SMALL,
                groups=16,
                max_tokens=1024,
                staleness_bound=bound,
                objective=objectives.STALENESS if restarts else objectives.IDLE_TIME,
            )
            entry = SharedEntry(timeline, workload, seed + 100 * index, self)
            entry.prefers_current = index == _STALENESS and rule in (
                Rule.CURRENT_PREFERRED,
                Rule.CURRENT_REQUIRED,
                Rule.BOTH,
            )
            self.entries.append(entry)
        self.entries[1].engines = self.entries[0].engines

    @property
    def engines(self) -> list[simulation.Engine]:
        """The shared engines."""
        return self.entries[0].engines

    def dispatch(self) -> None:
        """Fill the free slots; the rule determines which entry is served first."""
        for entry in self.entries:
            entry.cancel_unwanted()
        if self._rule is Rule.MATCHED:
            self._match()
            return
        while any(self._has_room(item) for item in self.engines):
            self._turn += 1
            if not any(entry.start_next() for entry in self._order_entries()):
                return

    def _match(self) -> None:
        """Offer slots on current weights to the staleness entry first, others to the other."""
        for engine in sorted(self.engines, key=lambda item: len(item.running)):
            first = _STALENESS if engine.version >= self.entries[0].version else _IDLE_TIME
            while self._has_room(engine):
                if self._are_equal():
                    self._turn += 1
                    first = self._turn % 2
                if not any(self._start_on(engine, index) for index in (first, 1 - first)):
                    return

    def _are_equal(self) -> bool:
        return len({item.version for item in self.engines}) == 1

    def _start_on(self, engine: simulation.Engine, index: int) -> bool:
        entry = self.entries[index]
        entry.chosen = engine
        started = entry.start_next()
        entry.chosen = None
        return started

    def _order_entries(self) -> collections.abc.Iterator[SharedEntry]:
        indices = [self._turn % 2, (self._turn + 1) % 2]
        if self._rule in (Rule.IDLE_FIRST, Rule.BOTH):
            indices = [_IDLE_TIME, _STALENESS]
        for index in indices:
            waits = self._rule is Rule.CURRENT_REQUIRED and index == _STALENESS
            if not waits or any(
                self._has_room(item) and item.version >= self.entries[index].version
                for item in self.engines
            ):
                yield self.entries[index]

    def _has_room(self, engine: simulation.Engine) -> bool:
        return len(engine.running) < simulation.SMALL.slots


class SharedTrainer(simulation.Trainer):
    """Runs several steps with training between them, and sums up its idle time."""

    def __init__(self, timeline: simulation.Timeline, entry: SharedEntry) -> None:
        super().__init__(timeline, simulation.PULL_SECONDS)
        self._line = timeline
        self._entry = entry
        self._since = 0.0
        self.idle = 0.0
        self.steps = 0
        self.lengths: list[int] = []
        self.announce: collections.abc.Callable[[], None] | None = None

    def begin(self) -> None:
        """Register the next step, announcing new weights if set, and pull until it is complete."""
        if self.announce is not None:
            self.announce()
        self.held.clear()
        self.is_complete = False
        self._since = self._line.now
        self._entry.open_step(self.steps + 1, self.version)
        self._watch()

    def _watch(self) -> None:
        source = self._entry.collector
        while source is not None and not self.is_complete and self.pull(source):
            pass
        self._entry.dispatch()
        if not self.is_complete:
            self._line.call_in(simulation.PULL_SECONDS, self._watch)
            return
        self.idle += self._line.now - self._since
        self.lengths += [sum(part.tokens for part in item.label) for item in self.held.values()]
        self.steps += 1
        if self.steps < _STEPS:
            self._line.call_in(_TRAIN_SECONDS, self.begin)


def measure_objective() -> None:
    """Compare the rules, with versions raised at fixed intervals and with each step."""
    for title, by_step in (
        (f"a version each {_VERSION_SECONDS:.0f} s", False),
        ("a version with each step of the staleness trainer", True),
    ):
        rows = []
        for rule in Rule:
            runs = [_run(rule, seed, by_step) for seed in simulation.SEEDS]
            figures = [statistics.mean(run[place] for run in runs) for place in range(5)]
            rows.append(f"{rule.value} | " + " | ".join(f"{item:.2f}" for item in figures))
        simulation.print_table(
            f"Objective: two trainers of {_STEPS} steps share 8 engines, {title}",
            "the objective changes | idle s, staleness trainer | mean staleness"
            " | mean sample tokens | idle s, idle-time trainer | mean staleness",
            rows,
        )


class _Versions:
    """Raises the version of both trainers; engines load it one after the other."""

    def __init__(
        self, timeline: simulation.Timeline, fleet: Fleet, trainers: list[SharedTrainer]
    ) -> None:
        self._timeline = timeline
        self._fleet = fleet
        self._trainers = trainers

    def tick(self) -> None:
        """Raise the version now and at each interval."""
        self.raise_all()
        self._timeline.call_in(_VERSION_SECONDS, self.tick)

    def raise_all(self) -> None:
        """Raise the version now."""
        for trainer, entry in zip(self._trainers, self._fleet.entries, strict=True):
            trainer.version += 1
            entry.version = trainer.version
        for index, engine in enumerate(self._fleet.engines):
            delay = _LOAD_SECONDS * (index + 1) / len(self._fleet.engines)
            load = functools.partial(_load, engine, self._trainers[0].version)
            self._timeline.call_in(delay, load)


def _load(engine: simulation.Engine, version: int) -> None:
    engine.version = version


def _run(rule: Rule, seed: int, by_step: bool) -> tuple[float, ...]:
    timeline = simulation.Timeline()
    fleet = Fleet(timeline, rule, seed)
    trainers = [SharedTrainer(timeline, entry) for entry in fleet.entries]
    versions = _Versions(timeline, fleet, trainers)
    if by_step:
        trainers[_STALENESS].announce = versions.raise_all
    else:
        timeline.call_in(_VERSION_SECONDS, versions.tick)
    for trainer in trainers:
        trainer.begin()
    timeline.run_until(lambda: all(trainer.steps == _STEPS for trainer in trainers))
    first, second = trainers
    return (
        first.idle,
        statistics.mean(first.staleness),
        statistics.mean(first.lengths),
        second.idle,
        statistics.mean(second.staleness),
    )


if __name__ == "__main__":
    measure_objective()
