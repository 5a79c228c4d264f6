"""
Measure the delivery of samples: log outages, stragglers, staleness and replaced entries.

Run with `make bench`, or with `python bench/samples_bench.py` and the names of measurements:
outage, stragglers, staleness, replaced, objective. All times are simulated and all seeds fixed, so
every run prints the same figures.
"""

import dataclasses
import functools
import statistics
import sys

import samples_objective
import samples_outage
import samples_simulation as simulation
from oleander_samples import hedging

VERSION_SECONDS = 15.0
LOAD_SECONDS = 5.0
REPLACED_AFTER = 40.0


# Stragglers


@dataclasses.dataclass(slots=True)
class StepFigures:
    """The duration of a step, its tokens generated in excess and the mean sample length."""

    seconds: float
    extra_percent: float
    mean_tokens: float


def run_step(workload: simulation.Workload, seed: int) -> StepFigures:
    """Simulate a step until it is complete."""
    timeline = simulation.Timeline()
    entry = simulation.Entry(timeline, workload, seed)
    trainer = simulation.Trainer(timeline, simulation.PULL_SECONDS)
    entry.open_step(1, trainer.version)
    trainer.pull_until_complete(entry)
    trainer.run(timeline)
    return describe_step(timeline.now, entry, trainer)


def describe_step(
    seconds: float, entry: simulation.Entry, trainer: simulation.Trainer
) -> StepFigures:
    """Return the figures of a complete step."""
    delivered = trainer.delivered_tokens
    extra = 100 * (entry.made_tokens - delivered) / delivered
    return StepFigures(seconds, extra, delivered / len(trainer.held))


def measure_stragglers() -> None:
    """Compare policies for slow samples: hedging, migration, both or neither."""
    policies = {
        "none": hedging.StragglerPolicy(0, allows_migration=False),
        "resume elsewhere (move)": hedging.StragglerPolicy(0, allows_migration=True),
    }
    for percent in (2, 5, 10):
        policies[f"hedge {percent}%"] = hedging.StragglerPolicy(percent, allows_migration=False)
    for percent in (2, 5, 10):
        policies[f"hedge {percent}%, then move"] = hedging.StragglerPolicy(
            percent, allows_migration=True
        )
    for title, factor, since in (
        ("2 of 8 engines at a fifth of the speed", 0.2, 0.0),
        ("2 of 8 engines all but hang from 60 s on", 0.02, 60.0),
    ):
        slow = dataclasses.replace(
            simulation.SMALL, slow_engines=2, slow_factor=factor, slow_from=since
        )
        rows = []
        for name, policy in policies.items():
            workload = dataclasses.replace(slow, policy=policy)
            runs = [run_step(workload, seed) for seed in simulation.SEEDS]
            seconds = [run.seconds for run in runs]
            rows.append(
                f"{name} | {statistics.mean(seconds):.1f} | {max(seconds):.1f}"
                f" | {statistics.mean(run.extra_percent for run in runs):.2f}"
                f" | {statistics.mean(run.mean_tokens for run in runs):.1f}"
            )
        simulation.print_table(
            f"Stragglers: {title}",
            "handling | step s, mean | step s, worst | extra tokens % | mean sample tokens",
            rows,
        )


# Staleness


class VersionClock:
    """Raises the trainer's version at intervals; engines load it one after the other."""

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
        """Change an engine's weights; one engine at each version also breaks its streams."""
        engine.version = version
        source = self._entry.collector
        breaks = engine.index == version % len(self._entry.engines)
        if source is None or not (self._restarts or breaks):
            return
        for generation in list(engine.running.values()):
            work_id = generation.work.work_id
            self._entry.stop(generation)
            if self._restarts:
                source.record_progress(work_id, "", 1, None)
            source.fail_work(work_id)
        self._entry.dispatch()


def measure_staleness() -> None:
    """Compare resuming samples with new weights and restarting them at each version."""
    rows = []
    short = dataclasses.replace(simulation.SMALL, max_tokens=1024)
    for bound in (1, 2, 4):
        for name, restarts in (("resume, mixed label", False), ("drop and restart", True)):
            workload = dataclasses.replace(short, staleness_bound=bound)
            rows.append(f"{bound} | {name} | {_run_versions(workload, restarts)}")
    simulation.print_table(
        f"Staleness: a version each {VERSION_SECONDS:.0f} s",
        "bound | handling | step s, mean | step s, worst | extra tokens %"
        " | staleness mean | staleness max | mean sample tokens",
        rows,
    )


def _run_versions(workload: simulation.Workload, restarts: bool) -> str:
    figures, staleness = [], []
    for seed in simulation.SEEDS:
        timeline = simulation.Timeline()
        entry = simulation.Entry(timeline, workload, seed)
        trainer = simulation.Trainer(timeline, simulation.PULL_SECONDS)
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
    """
    Compare replacement entries that start work at once or at the trainer's first pull.

    Those that start at once do or do not know which samples the trainer holds.
    """
    rows = []
    for gap in (0.01, 5.0):
        for name in ("at once", "at the first pull", "at once, `held` in the body"):
            runs = [_run_replaced(name, gap, seed) for seed in simulation.SEEDS]
            rows.append(
                f"{gap:g} | {name} | {statistics.mean(run.seconds for run in runs):.1f}"
                f" | {statistics.mean(run.extra_percent for run in runs):.2f}"
            )
    simulation.print_table(
        f"An entry replaced after {REPLACED_AFTER:.0f} s",
        "s from registration to first pull | work starts | step s | extra tokens %",
        rows,
    )


def _run_replaced(name: str, gap: float, seed: int) -> StepFigures:
    timeline = simulation.Timeline()
    entry = simulation.Entry(timeline, simulation.SMALL, seed)
    trainer = simulation.Trainer(timeline, simulation.PULL_SECONDS)

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
    "outage": samples_outage.measure_outage,
    "stragglers": measure_stragglers,
    "staleness": measure_staleness,
    "replaced": measure_replaced,
    "objective": samples_objective.measure_objective,
}


def main() -> None:
    """Run the measurements named on the command line, or all of them."""
    for name in sys.argv[1:] or MEASURES:
        MEASURES[name]()


if __name__ == "__main__":
    main()
