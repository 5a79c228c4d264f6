"""Compare the urgency of texts with first come first served and with the previous code."""

import collections.abc
import dataclasses

import policy_simulation
import policy_steps

_SEEDS = (1, 2, 3, 4)
_BASELINES: tuple[tuple[str, collections.abc.Callable[[], policy_steps.Policy]], ...] = (
    ("first come", policy_steps.FirstComePolicy),
    ("previous", policy_steps.AgePolicy),
)
_TICKS = policy_steps.Load(engines=11, engines_per_model=6, slow=0)
"""Four trainers' steps at the same ticks, on half of the usual engines: two fifths of the slots
would be busy if the steps were spread evenly."""
_OUTAGE = policy_steps.Load(
    engines=12,
    engines_per_model=6,
    slow=0,
    trainers=6,
    steps=1,
    arrival_spread_seconds=3.0,
    min_texts=60,
)
"""Six steps within 3 s."""
_OVERLOAD = policy_steps.Load(
    engines=10,
    engines_per_model=5,
    slow=0,
    trainers=8,
    steps=1,
    arrival_spread_seconds=3.0,
    min_texts=60,
)
"""Eight steps within 3 s, more than the engines can complete in time."""
_SURPLUS = dataclasses.replace(_TICKS, groups=6, wanted_groups=5)
_NORMAL = policy_steps.Load(engines=44, engines_per_model=22, slow=0, steps=4)
"""Engines always have free slots."""
_SECONDS = 60.0


@dataclasses.dataclass(slots=True, frozen=True)
class _Outcome:
    """How the steps of some days ended."""

    late_seconds: float
    """The sum over all steps of the time after they were due."""
    latest_seconds: float
    """The longest time from a step's submission to its end."""
    mean_seconds: float
    first_wait_seconds: float
    """The mean time from a step's submission to the start of its longest text."""
    preempted: int


def _play(
    load: policy_steps.Load, create: collections.abc.Callable[[], policy_steps.Policy]
) -> _Outcome:
    steps = []
    for seed in _SEEDS:
        day = policy_steps.Day(load, create, seed)
        day.play(_SECONDS)
        steps += [step for step in day.steps if step.ended_at is not None]
    durations = [step.ended_at - step.submitted_at for step in steps]
    longest = [max(step.texts, key=lambda text: text.events) for step in steps]
    return _Outcome(
        sum(max(0.0, seconds - policy_steps.DUE_SECONDS) for seconds in durations),
        max(durations),
        policy_simulation.find_mean(durations),
        policy_simulation.find_mean(
            [text.started_at - text.step.submitted_at for text in longest]
        ),
        sum(text.preempted for step in steps for text in step.texts),
    )


def _compare(case: str, load: policy_steps.Load) -> list[policy_simulation.Figure]:
    ours = _play(load, policy_steps.SlackPolicy)
    figures = []
    for name, create in _BASELINES:
        found = _play(load, create)
        label = f"g {case}, {name}"
        figures += [
            policy_simulation.Figure(label, measure, read(found), read(ours))
            for measure, read in (
                ("steps late, s in all", lambda item: item.late_seconds),
                ("latest step, s", lambda item: item.latest_seconds),
                ("mean step, s", lambda item: item.mean_seconds),
                ("wait of the longest text, ms", lambda item: item.first_wait_seconds * 1000),
                ("texts preempted", lambda item: float(item.preempted)),
            )
        ]
    return figures


def measure_ticks() -> list[policy_simulation.Figure]:
    """Run steps of four trainers that come at the same ticks."""
    return _compare("ticks", _TICKS)


def measure_outage() -> list[policy_simulation.Figure]:
    """Run six steps that come within 3 s."""
    return _compare("six in 3 s", _OUTAGE)


def measure_overload() -> list[policy_simulation.Figure]:
    """Run more steps at once than the engines can complete in time."""
    return _compare("overload", _OVERLOAD)


def measure_surplus() -> list[policy_simulation.Figure]:
    """Run steps of which trainers wait for five of six groups."""
    return _compare("five of six", _SURPLUS)


def measure_normal() -> list[policy_simulation.Figure]:
    """Run steps at engines with free slots."""
    return _compare("free slots", _NORMAL)
