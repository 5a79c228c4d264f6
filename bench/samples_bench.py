"""
Measure how samples reach a trainer: log outages, stragglers, staleness and replaced entries.

Run with `make bench` or `python bench/samples_bench.py [outage|stragglers|staleness|replaced]`.
All times are simulated and all seeds fixed, so a second run prints the same figures.
"""

import collections.abc
import dataclasses
import statistics
import sys

import samples_simulation as simulation

SEEDS = (1, 2, 3, 4, 5)
_PULL_SECONDS = 0.5


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
    trainer = simulation.Trainer(timeline, _PULL_SECONDS)
    entry.open_step(1, trainer.version)
    trainer.pull_until_complete(entry)
    timeline.run_until(lambda: trainer.is_complete)
    delivered = trainer.delivered_tokens
    return StepFigures(
        timeline.now,
        100 * (entry.made_tokens - delivered) / delivered,
        delivered / workload.total,
    )


def measure_stragglers() -> None:
    """Compare what is done about stragglers, with and without slow engines."""
    for slow in (0, 2):
        rows = []
        for name, percent, moves in (
            ("none", 0, False),
            ("resume elsewhere", 0, True),
            ("hedge 2%", 2, False),
            ("hedge 5%", 5, False),
            ("hedge 10%", 10, False),
        ):
            workload = simulation.Workload(slow_engines=slow, hedge_percent=percent)
            runs = [run_step(workload, seed, moves) for seed in SEEDS]
            seconds = [run.seconds for run in runs]
            rows.append(
                f"{name} | {statistics.mean(seconds):.1f} | {max(seconds):.1f}"
                f" | {statistics.mean(run.extra_percent for run in runs):.2f}"
                f" | {statistics.mean(run.mean_tokens for run in runs):.1f}"
            )
        print_table(
            f"Stragglers: {slow} of 16 engines at a fifth of the speed",
            "handling | step s, mean | step s, worst | extra tokens % | mean sample tokens",
            rows,
        )


MEASURES = {"stragglers": measure_stragglers}


def main() -> None:
    """Run the measures that the command line names, or all."""
    for name in sys.argv[1:] or MEASURES:
        MEASURES[name]()


if __name__ == "__main__":
    main()
