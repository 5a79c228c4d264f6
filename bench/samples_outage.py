"""Cost of an alternative design that logs a record before each delivery of samples."""

import functools
import math
import statistics

import samples_simulation as simulation
from oleander_samples import pulls

MAX_PULLED_SAMPLES = 64
STEPS = 4
OUTAGE_FROM = 100.0
TRAIN_SECONDS = 20.0
APPEND_SECONDS = 0.02
APPEND_RETRY_SECONDS = 1.0


class RecordedTrainer(simulation.Trainer):
    """A trainer whose entry records each batch of samples in the log before delivery."""

    def __init__(self, timeline: simulation.Timeline, outage_from: float, outage: float) -> None:
        super().__init__(timeline, simulation.PULL_SECONDS)
        self._outage_from = outage_from
        self._outage_until = outage_from + outage
        self.appends = 0

    def pull_until_complete(self, entry: simulation.Entry) -> None:
        """Pull, record and deliver finished samples until the step is complete."""
        if entry.collector is None:
            return
        request = pulls.Pull(1, self.version, frozenset(self.held), 0, MAX_PULLED_SAMPLES)
        answer = entry.collector.pull(request, 0.0).ok
        entry.dispatch()
        delay = self._record() if answer.samples else simulation.PULL_SECONDS
        self._timeline.call_in(delay, lambda: self._deliver(entry, answer))

    def _record(self) -> float:
        """Return the seconds until the record of the batch is in the log."""
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
    """Run several steps with training between them; return the idle time in seconds."""
    entry = simulation.Entry(timeline, simulation.SMALL, seed)
    idle = 0.0
    for step in range(STEPS):
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
    Compare deliveries recorded in the log with those stated by the trainer as samples held.

    The trainer's statement does not need the log, so it is simulated once for all outages.
    """
    stated = []
    for seed in simulation.SEEDS:
        timeline = simulation.Timeline()
        stating = simulation.Trainer(timeline, simulation.PULL_SECONDS)
        stated.append(run_steps(stating, timeline, seed))
    rows = []
    for outage in (0.0, 30.0, 120.0, 600.0):
        recorded, appends = [], []
        for seed in simulation.SEEDS:
            timeline = simulation.Timeline()
            trainer = RecordedTrainer(timeline, OUTAGE_FROM, outage)
            recorded.append(run_steps(trainer, timeline, seed))
            appends.append(trainer.appends / STEPS)
        rows.append(
            f"{outage:.0f} | {statistics.mean(stated):.1f} | {statistics.mean(recorded):.1f}"
            f" | 0 | {statistics.mean(appends):.0f}"
        )
    simulation.print_table(
        f"Log outage: trainer idle seconds over {STEPS} steps",
        "outage s | idle s, trainer's statement | idle s, record first"
        " | appends a step, statement | appends a step, record first",
        rows,
    )
