"""
Urgency of a batch's items: the class that engines order them by, and the order at the runner.

Entries have no information about each other's items at an engine, but engines admit waiting
requests by class, and let a more urgent one preempt a running one. All entries therefore compute
the class by the same rule, from the item's slack: the time until its step is due, less the time
that the item still needs. The longest texts have the least slack, so they start first.
"""

import bisect
import collections.abc
import dataclasses
import enum
import threading

from oleander_base import log
from oleander_samples import predictions

MOST_URGENT = 1
LEAST_URGENT = 5
"""The class of items with the most slack and of those that yield; engines assume it if a request
states none. A class beyond it would let every short text of another trainer preempt the item, and
an engine never raises the class of what it has queued."""
_CLASS_BOUNDS = (0.08, 0.2, 0.35, 0.5)
"""Upper bounds of the slack of the classes 1 to 4, as fractions of the time by which a step is
due. Most texts are short and have more slack, so only the longest preempt others."""
_WAITED_FRACTION = 0.5
"""The fraction of an item's waiting time by which its slack decreases. If it were the whole, all
short texts of a delayed step would preempt running texts whose length was underestimated, and
more steps would be late."""
_HYSTERESIS = 0.03
"""How far the slack must be beyond a bound for another class, as a fraction of the same time."""
_MAX_HELD_FRACTION = 0.5
"""How long an item may yield to others, as a fraction of the time by which its step is due. After
that its class follows from its slack again."""
_SURPLUS_FRACTION = 0.1
"""When groups that the trainer does not wait for begin to yield, as a fraction of the same time.
Items that still wait then show that capacity is short, and the longest texts have started. If
groups yielded from the start, they would end later also where capacity is not short, and as
predictions are often far off, the trainer often needs one of them."""
_PRIORITY_FRACTION = 0.01
"""Slack that each step of the priority is worth, as a fraction of the time by which a step is
due. All priorities together are worth less than a class is wide, so that priority decides only
among items with about the same slack."""
_CERTAIN_FRACTION = 0.5
"""The fraction of a predicted length that is taken as certain. Predictions are often far off, and
a step must not yield because of a prediction that is twice too long."""
_MAX_PRIORITY = 9
_MIN_DUE_SECONDS = 0.1
_MAX_DUE_SECONDS = 24 * 3600.0
_MAX_EVENTS = 1e6
"""Bounds of valid input; what is beyond them is replaced by the nearest bound."""
_DEFAULT_EVENT_SECONDS = 0.05
"""Time between two events until one was observed."""
_DEFAULT_SCORING_SECONDS = 0.2
"""Time of a scoring until one was observed."""
_MAX_OBSERVATIONS = 256
"""Window size for observed times."""
_LAST_SCORINGS = 2
"""The slack of a step is used up when this number of scorings, one after another, would just end
in time: one that waits for another can then be late."""


@dataclasses.dataclass(slots=True, frozen=True)
class StepTerms:
    """When a step is due and how urgent its route is, as configured; may be invalid."""

    due_seconds: float
    """The time from submission by which the step is due."""
    priority: int
    """Of the organisation, or of the route if the organisation has none; 0 is the most urgent."""

    def validate(self) -> "StepTerms":
        """Return the terms within their bounds, and log if they were not."""
        due_seconds = _clamp("due", self.due_seconds, _MIN_DUE_SECONDS, _MAX_DUE_SECONDS)
        priority = int(_clamp("priority", self.priority, 0, _MAX_PRIORITY))
        return StepTerms(due_seconds, priority)


@dataclasses.dataclass(slots=True, frozen=True)
class UnfinishedItem:
    """An item without a result, as an input of the policy."""

    number: int
    group: str
    remaining_events: float
    """Predicted number of events that are still to be generated."""


class Standing(enum.IntEnum):
    """Whether an item yields to others."""

    NEEDED = 0
    """Its step can be in time, and the trainer waits for its group."""
    LATE = 1
    """Its step can't meet its due time."""
    SURPLUS = 2
    """Its group is beyond those that the trainer waits for."""


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Urgency:
    """How urgent an item is; the lowest is the most urgent, and is the rank at the runner."""

    standing: Standing
    urgency_class: int
    """From `MOST_URGENT` to `LEAST_URGENT`."""
    slack_seconds: float
    """Time that the item may wait without its step being late; negative if it is late."""


class TypicalTimes:
    """
    Typical times of events and of scorings, as this process observed them; thread-safe.

    They are medians, so that servers that are slow for a while do not change them.
    """

    def __init__(self) -> None:
        self._events = predictions.SlidingWindow(_MAX_OBSERVATIONS)
        self._scorings = predictions.SlidingWindow(_MAX_OBSERVATIONS)
        self._lock = threading.Lock()

    @property
    def event_seconds(self) -> float:
        """Typical seconds between two events of a text."""
        with self._lock:
            return self._events.find_median_above(0.0) or _DEFAULT_EVENT_SECONDS

    @property
    def scoring_seconds(self) -> float:
        """Typical seconds of a scoring."""
        with self._lock:
            return self._scorings.find_median_above(0.0) or _DEFAULT_SCORING_SECONDS

    def record_event_interval(self, seconds: float) -> None:
        """Record the mean seconds between some events of a text."""
        with self._lock:
            self._events.add(seconds)

    def record_scoring(self, seconds: float) -> None:
        """Record the seconds that a scoring took."""
        with self._lock:
            self._scorings.add(seconds)


class StepUrgency:
    """
    The urgency of the items of one step; not thread-safe.

    Keeps the last class of each item, which is needed for hysteresis, since when the step can't
    meet its due time, and which groups are nearest completion.
    """

    def __init__(self, submitted_at: float, wanted_groups: int, times: TypicalTimes) -> None:
        """Create the state of a step; its trainer waits for `wanted_groups`, 0 for all."""
        self._submitted_at = submitted_at
        self._wanted_count = max(0, wanted_groups)
        self._times = times
        self._late_since: float | None = None
        self._surplus: frozenset[str] = frozenset()
        self._classes: dict[int, int] = {}

    @property
    def is_late(self) -> bool:
        """Whether the step could not meet its due time at the last update."""
        return self._late_since is not None

    def find_yielding_groups(self, terms: StepTerms, now: float) -> frozenset[str]:
        """Return the unfinished groups that yield, as the trainer does not wait for them."""
        due_seconds = terms.validate().due_seconds
        part = (now - self._submitted_at) / due_seconds
        is_yielding = _SURPLUS_FRACTION <= part < _MAX_HELD_FRACTION
        return self._surplus if is_yielding else frozenset()

    def update(
        self,
        unfinished: collections.abc.Sequence[UnfinishedItem],
        finished_groups: int,
        terms: StepTerms,
        now: float,
    ) -> None:
        """Update from all unfinished items which groups are wanted and if they can be in time."""
        terms = terms.validate()
        longest: dict[str, float] = {}
        for item in unfinished:
            longest[item.group] = max(longest.get(item.group, 0.0), _clamp_events(item))
        self._surplus = self._find_surplus(longest, finished_groups)
        needed = [events for group, events in longest.items() if group not in self._surplus]
        certain = max(needed, default=0.0) * _CERTAIN_FRACTION * self._times.event_seconds
        ends_at = now + certain + self._times.scoring_seconds
        if not needed or ends_at <= self._submitted_at + terms.due_seconds:
            self._late_since = None
        elif self._late_since is None:
            self._late_since = now

    def rate(self, item: UnfinishedItem, terms: StepTerms, now: float) -> Urgency:
        """Return an item's urgency without a change of state."""
        terms = terms.validate()
        due_seconds = terms.due_seconds
        waited = now - self._submitted_at
        needed = _clamp_events(item) * self._times.event_seconds + self._times.scoring_seconds
        slack = due_seconds - waited - needed
        fraction = (slack + waited * (1 - _WAITED_FRACTION)) / due_seconds
        fraction += terms.priority * _PRIORITY_FRACTION
        urgency_class = _choose_class(fraction, self._classes.get(item.number))
        standing = self._find_standing(item, terms, now)
        if standing is not Standing.NEEDED:
            urgency_class = LEAST_URGENT
        return Urgency(standing, urgency_class, slack)

    def start(self, item: UnfinishedItem, terms: StepTerms, now: float) -> Urgency:
        """Return the urgency of an attempt that starts, and keep its class for hysteresis."""
        urgency = self.rate(item, terms, now)
        self._classes[item.number] = urgency.urgency_class
        return urgency

    def is_slack_used_up(self, terms: StepTerms, now: float) -> bool:
        """Return whether a text that is ready must be scored at once to be in time."""
        due_at = self._submitted_at + terms.validate().due_seconds
        return now + _LAST_SCORINGS * self._times.scoring_seconds >= due_at

    def _find_surplus(self, longest: dict[str, float], finished_groups: int) -> frozenset[str]:
        """
        Return the groups beyond those nearest completion that the trainer waits for.

        A group is complete when its longest text is. Of groups that are equally near, those that
        were wanted before stay so, because some of their texts may be running.
        """
        if not self._wanted_count:
            return frozenset()
        ordered = sorted(
            longest, key=lambda group: (longest[group], group in self._surplus, group)
        )
        return frozenset(ordered[max(0, self._wanted_count - finished_groups) :])

    def _find_standing(self, item: UnfinishedItem, terms: StepTerms, now: float) -> Standing:
        """Return whether an item yields to others, which it does for a limited time."""
        if item.group in self.find_yielding_groups(terms, now):
            return Standing.SURPLUS
        held_seconds = _MAX_HELD_FRACTION * terms.due_seconds
        if self._late_since is not None and now < self._late_since + held_seconds:
            return Standing.LATE
        return Standing.NEEDED


def _choose_class(fraction: float, previous: int | None) -> int:
    """Return the class for a slack; the previous one if the slack is near a bound of it."""
    most_urgent = _find_class(fraction - _HYSTERESIS)
    least_urgent = _find_class(fraction + _HYSTERESIS)
    if previous is not None and most_urgent <= previous <= least_urgent:
        return previous
    return _find_class(fraction)


def _find_class(fraction: float) -> int:
    return MOST_URGENT + bisect.bisect_right(_CLASS_BOUNDS, fraction)


def _clamp_events(item: UnfinishedItem) -> float:
    return _clamp("events", item.remaining_events, 0.0, _MAX_EVENTS)


def _clamp(name: str, value: float, lowest: float, highest: float) -> float:
    """Return a value within its bounds; NaN counts as too low."""
    if lowest <= value <= highest:
        return value
    log.warn_bounded("urgency-input", "an input is out of bounds", field=name, value=value)
    return highest if value > highest else lowest
