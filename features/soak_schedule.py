"""Draw a random schedule of faults: what fails, when, and for how long."""

import dataclasses
import enum

import hypothesis
from hypothesis import strategies


class FaultKind(enum.Enum):
    """What fails; the value names it in the printed counts."""

    KILL = "kill"
    FREEZE = "freeze"
    LINK_CUT = "cut"
    LINK_BLOCKED = "hold"
    LOG_REFUSES = "log refuses"
    LOG_HANGS = "log hangs"
    LOG_SLOW = "log slow"
    LOG_LOSES_ANSWERS = "log loses answers after the effect"
    LOG_LOSES_APPENDS = "log loses appends"
    LOG_APPENDS_LATE = "log appends late"
    SERVICE_LOSES_ANSWERS = "service loses answers after the effect"
    SERVICE_HANGS = "service hangs"
    WEIGHTS_DOWN = "weight store down"
    LOAD_FAILS = "load fails midway"
    LOAD_ANSWER_LOST = "load's answer is lost"
    LOAD_LATE = "load takes effect late"
    ENGINE_SLOW = "engine slow"
    GRACEFUL_RESTART = "graceful restart"
    CONCURRENT_PUBLISH = "two operators publish"


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """One fault of a schedule."""

    kind: FaultKind
    target_index: int
    """Index, modulo their number, into the processes or relays that can fail this way."""
    delay_ms: int
    """Time from the start of the previous fault to the start of this one."""
    duration_ms: int


_MAX_EXAMPLES = 5
"""Hypothesis draws the simplest examples first, the same for every seed; only the last is used."""

_FAULT_STRATEGY = strategies.builds(
    Fault,
    strategies.sampled_from(list(FaultKind)),
    strategies.integers(0, 30),
    strategies.integers(0, 1200),
    strategies.integers(100, 3000),
)


def draw_schedule(seed, count):
    """Return `count` faults, the same ones for the same seed."""
    drawn = []

    @hypothesis.seed(seed)
    @hypothesis.settings(
        max_examples=_MAX_EXAMPLES,
        database=None,
        deadline=None,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(strategies.lists(_FAULT_STRATEGY, min_size=count, max_size=count))
    def draw(schedule):
        drawn[:] = schedule

    draw()
    return drawn
