"""
Measure how samples reach a trainer: log outages, stragglers, staleness and replaced entries.

Run with `make bench` or `python bench/samples_bench.py [outage|stragglers|staleness|replaced]`.
All times are simulated and all seeds fixed, so a second run prints the same figures.
"""

import collections.abc
import dataclasses
import functools
import math
import statistics
import sys

import samples_simulation as simulation
from oleander_samples import hedging, pulls

SEEDS = (1, 2, 3, 4, 5)
SMALL = simulation.Workload(groups=32, samples=8, engines=8, slots=8)
PULL_SECONDS = 0.5
MOST_PULLED = 64
OUTAGE_STEPS = 4
OUTAGE_FROM = 100.0
TRAIN_SECONDS = 20.0
APPEND_SECONDS = 0.02
APPEND_RETRY_SECONDS = 1.0
VERSION_SECONDS = 12.0
LOAD_SECONDS = 4.0
REPLACED_AFTER = 40.0


def print_table(title: str, header: str, rows: collections.abc.Iterable[str]) -> None:
    """Print a table in Markdown."""
    print(f"\n### {title}\n")
    print(f"| {header} |")
    print("|" + "---|" * (header.count("|") + 1))
    for row in rows:
        print(f"| {row} |", flush=True)


# Stragglers


@dataclasses.dataclass(slots=True)
class StepFigures:
    """What one run of a step came to."""

    seconds: float
    extra_percent: float
    mean_tokens: float


def run_step(workload: simulation.Workload, seed: int) -> StepFigures:
    """Collect one step."""
    timeline = simulation.Timeline()
    entry = simulation.Entry(timeline, workload, seed)
    trainer = simulation.Trainer(timeline, PULL_SECONDS)
    entry.open_step(1, trainer.version)
    trainer.pull_until_complete(entry)
    trainer.run(timeline)
    return describe_step(timeline.now, entry, trainer)


def describe_step(
    seconds: float, entry: simulation.Entry, trainer: simulation.Trainer
) -> StepFigures:
    """Return the figures of a step that is complete."""
    delivered = trainer.delivered_tokens
    extra = 100 * (entry.made_tokens - delivered) / delivered
    return StepFigures(seconds, extra, delivered / len(trainer.held))


def measure_stragglers() -> None:
    """Compare what is done about stragglers."""
    policies = {
        "none": hedging.StragglerPolicy(0, moves=False),
        "resume elsewhere (move)": hedging.StragglerPolicy(0, moves=True),
    }
    for percent in (2, 5, 10):
        policies[f"hedge {percent}%"] = hedging.StragglerPolicy(percent, moves=False)
    for percent in (2, 5, 10):
        policies[f"hedge {percent}%, then move"] = hedging.StragglerPolicy(percent, moves=True)
    for title, factor, since in (
        ("2 of 8 engines at a fifth of the speed", 0.2, 0.0),
        ("2 of 8 engines all but hang from 60 s on", 0.02, 60.0),
    ):
        rows = []
        for name, policy in policies.items():
            workload = dataclasses.replace(
                SMALL, slow_engines=2, slow_factor=factor, slow_from=since, policy=policy
            )
            runs = [run_step(workload, seed) for seed in SEEDS]
            seconds = [run.seconds for run in runs]
            rows.append(
                f"{name} | {statistics.mean(seconds):.1f} | {max(seconds):.1f}"
                f" | {statistics.mean(run.extra_percent for run in runs):.2f}"
                f" | {statistics.mean(run.mean_tokens for run in runs):.1f}"
            )
        print_table(
            f"Stragglers: {title}",
            "handling | step s, mean | step s, worst | extra tokens % | mean sample tokens",
            rows,
        )


# Log outage


class RecordedTrainer(simulation.Trainer):
    """The other way: each batch is recorded in the log before it is delivered."""

    def __init__(self, timeline: simulation.Timeline, outage_from: float, outage: float) -> None:
        super().__init__(timeline, PULL_SECONDS)
        self._outage_from = outage_from
        self._outage_until = outage_from + outage
        self.appends = 0

    def pull_until_complete(self, entry: simulation.Entry) -> None:
        """Record what is whole, deliver it, and go on."""
        if entry.collector is None:
            return
        request = pulls.Pull(1, self.version, frozenset(self.held), 0, MOST_PULLED)
        answer = entry.collector.pull(request, 0.0).ok
        entry.dispatch()
        delay = self._record() if answer.samples else PULL_SECONDS
        self._timeline.call_in(delay, lambda: self._deliver(entry, answer))

    def _record(self) -> float:
        """Return how long it takes until the batch's record stands in the log."""
        self.appends += 1
        now = self._timeline.now
        if not self._outage_from <= now < self._outage_until:
            return APPEND_SECONDS
        retries = math.ceil((self._outage_until - now) / APPEND_RETRY_SECONDS)
        return retries * APPEND_RETRY_SECONDS + APPEND_SECONDS

    def _deliver(self, entry: simulation.Entry, answer: pulls.PullAnswer) -> None:
        self.take(answer.samples)
        self.is_complete = answer.complete
        if not self.is_complete:
            self.pull_until_complete(entry)


def run_steps(trainer: simulation.Trainer, timeline: simulation.Timeline, seed: int) -> float:
    """Collect and train several steps in turn; return how long the trainer was idle."""
    entry = simulation.Entry(timeline, SMALL, seed)
    idle = 0.0
    for step in range(OUTAGE_STEPS):
        opened = timeline.now
        trainer.held.clear()
        trainer.is_complete = False
        entry.open_step(step, trainer.version)
        trainer.pull_until_complete(entry)
        trainer.run(timeline)
        idle += timeline.now - opened
        trained = timeline.now + TRAIN_SECONDS
        timeline.call_in(TRAIN_SECONDS, lambda: None)
        timeline.run_until(functools.partial(_is_past, timeline, trained))
    return idle


def _is_past(timeline: simulation.Timeline, time: float) -> bool:
    return timeline.now >= time


def measure_outage() -> None:
    """
    Compare the trainer's own statement with a record before each delivery.

    The first way has nothing to do with the log, so it is run once for all outages.
    """
    stated = []
    for seed in SEEDS:
        timeline = simulation.Timeline()
        stated.append(run_steps(simulation.Trainer(timeline, PULL_SECONDS), timeline, seed))
    rows = []
    for outage in (0.0, 30.0, 120.0, 600.0):
        recorded, appends = [], []
        for seed in SEEDS:
            timeline = simulation.Timeline()
            trainer = RecordedTrainer(timeline, OUTAGE_FROM, outage)
            recorded.append(run_steps(trainer, timeline, seed))
            appends.append(trainer.appends / OUTAGE_STEPS)
        rows.append(
            f"{outage:.0f} | {statistics.mean(stated):.1f} | {statistics.mean(recorded):.1f}"
            f" | 0 | {statistics.mean(appends):.0f}"
        )
    print_table(
        f"Log outage: trainer idle seconds over {OUTAGE_STEPS} steps",
        "outage s | idle s, trainer's statement | idle s, record first"
        " | appends a step, statement | appends a step, record first",
        rows,
    )


# Staleness


class VersionClock:
    """Raises the trainer's version regularly; the engines follow, one after the other."""

    def __init__(
        self, entry: simulation.Entry, trainer: simulation.Trainer, restarts: bool
    ) -> None:
        self._entry = entry
        self._trainer = trainer
        self._restarts = restarts
        entry.timeline.call_in(VERSION_SECONDS, self._raise_version)

    def _raise_version(self) -> None:
        self._trainer.version += 1
        version = self._trainer.version
        for index, engine in enumerate(self._entry.engines):
            delay = LOAD_SECONDS * (index + 1) / len(self._entry.engines)
            self._entry.timeline.call_in(delay, functools.partial(self._load, engine, version))
        self._entry.timeline.call_in(VERSION_SECONDS, self._raise_version)

    def _load(self, engine: simulation.Engine, version: int) -> None:
        """Change an engine's weights; one of them breaks its streams at that."""
        engine.version = version
        source = self._entry.collector
        breaks = engine.index == version % len(self._entry.engines)
        if source is None or not (self._restarts or breaks):
            return
        for generation in list(engine.running.values()):
            work_id = generation.work.work_id
            self._entry.stop(generation)
            if self._restarts:
                source.note_progress(work_id, "", 1, None)
            source.fail_work(work_id)
        self._entry.dispatch()


def measure_staleness() -> None:
    """Compare going on with new weights and starting anew, while versions change."""
    rows = []
    for bound in (1, 2, 4):
        for name, restarts in (("resume, mixed label", False), ("drop and restart", True)):
            workload = dataclasses.replace(SMALL, staleness_bound=bound, max_tokens=1024)
            rows.append(f"{bound} | {name} | {_run_versions(workload, restarts)}")
    print_table(
        f"Staleness: a version each {VERSION_SECONDS:.0f} s",
        "bound | handling | step s, mean | step s, worst | extra tokens %"
        " | staleness mean | staleness max | mean sample tokens",
        rows,
    )


def _run_versions(workload: simulation.Workload, restarts: bool) -> str:
    figures, staleness = [], []
    for seed in SEEDS:
        timeline = simulation.Timeline()
        entry = simulation.Entry(timeline, workload, seed)
        trainer = simulation.Trainer(timeline, PULL_SECONDS)
        entry.open_step(1, trainer.version)
        VersionClock(entry, trainer, restarts)
        trainer.pull_until_complete(entry)
        trainer.run(timeline)
        figures.append(describe_step(timeline.now, entry, trainer))
        staleness.extend(trainer.staleness)
    seconds = [item.seconds for item in figures]
    return (
        f"{statistics.mean(seconds):.1f} | {max(seconds):.1f}"
        f" | {statistics.mean(item.extra_percent for item in figures):.1f}"
        f" | {statistics.mean(staleness):.2f} | {max(staleness)}"
        f" | {statistics.mean(item.mean_tokens for item in figures):.1f}"
    )


# Replaced entry


def measure_replaced() -> None:
    """Compare when a replaced entry starts work: at the registration or when it knows more."""
    rows = []
    for gap in (0.01, 5.0):
        for name in ("at once", "at the first pull", "at once, `held` in the body"):
            runs = [_run_replaced(name, gap, seed) for seed in SEEDS]
            rows.append(
                f"{gap:g} | {name} | {statistics.mean(run.seconds for run in runs):.1f}"
                f" | {statistics.mean(run.extra_percent for run in runs):.2f}"
            )
    print_table(
        f"An entry replaced after {REPLACED_AFTER:.0f} s",
        "s from registration to first pull | work starts | step s | extra tokens %",
        rows,
    )


def _run_replaced(name: str, gap: float, seed: int) -> StepFigures:
    timeline = simulation.Timeline()
    entry = simulation.Entry(timeline, SMALL, seed)
    trainer = simulation.Trainer(timeline, PULL_SECONDS)

    def register() -> None:
        known = {
            "at once": frozenset(),
            "at the first pull": None,
            "at once, `held` in the body": frozenset(trainer.held),
        }
        entry.open_step(1, trainer.version, known[name])
        trainer.pause(gap)
        entry.dispatch()

    register()
    timeline.call_in(REPLACED_AFTER, register)
    trainer.pull_until_complete(entry)
    trainer.run(timeline)
    return describe_step(timeline.now, entry, trainer)


MEASURES = {
    "outage": measure_outage,
    "stragglers": measure_stragglers,
    "staleness": measure_staleness,
    "replaced": measure_replaced,
}


def main() -> None:
    """Run the measures that the command line names, or all."""
    for name in sys.argv[1:] or MEASURES:
        MEASURES[name]()


if __name__ == "__main__":
    main()
