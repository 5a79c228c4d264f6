"""
Training steps of several trainers at shared engines that admit texts by class, in simulated time.

Each trainer has an entry of its own that runs its steps, and no entry knows of the texts of the
others. An engine runs the most urgent texts; one that is more urgent preempts the newest of the
least urgent.
"""

import abc
import collections.abc
import dataclasses
import random

import policy_simulation
from oleander_routing import peers, router
from oleander_samples import urgency

SLOTS = 6
QUEUE = 18
EVENT_SECONDS = 0.047
SCORING_SECONDS = 0.2
DUE_SECONDS = 7.5
_TICK_SECONDS = 4.0
_POLL_SECONDS = 0.05
_LINK_SECONDS = 0.01
"""Time from the first event of a text at an engine until its runner receives it."""
_READ_SECONDS = 0.02
"""Time to read the prompt and the events so far of a text that starts or goes on."""
_TRAINING_SECONDS = 1.0
_LONG_PART = 0.08
_MIN_MEAN_EVENTS = 11
_MAX_MEAN_EVENTS = 21
_LONG_FACTOR = 5
_MAX_EVENTS = 152
_ESTIMATE_SIGMA = 0.5


@dataclasses.dataclass(slots=True)
class Text:
    """A text of a step, in events."""

    step: "Step"
    number: int
    group: str
    events: float
    estimate: float
    left: float
    """Events that are still to be generated."""
    urgency_class: int = 5
    started_at: float | None = None
    """When an engine first ran the text."""
    ended_at: float | None = None
    preempted: int = 0


@dataclasses.dataclass(slots=True)
class Step:
    """A step of one trainer."""

    trainer: int
    number: int
    priority: int
    wanted_groups: int
    submitted_at: float = 0.0
    texts: list[Text] = dataclasses.field(default_factory=list)
    sent: set[int] = dataclasses.field(default_factory=set)
    """The numbers of the texts that an engine accepted."""

    @property
    def waiting(self) -> list[Text]:
        """The texts that no engine accepted yet."""
        return [text for text in self.texts if text.number not in self.sent]

    @property
    def ended_at(self) -> float | None:
        """When the groups that the trainer waits for were complete; None before that."""
        groups: dict[str, float] = {}
        for text in self.texts:
            ended = float("inf") if text.ended_at is None else text.ended_at
            groups[text.group] = max(groups.get(text.group, 0.0), ended)
        wanted = self.wanted_groups or len(groups)
        ended_at = sorted(groups.values())[wanted - 1] + SCORING_SECONDS
        return None if ended_at == float("inf") else ended_at


class Policy(abc.ABC):
    """The order of texts at a runner, and the class that it sends."""

    @abc.abstractmethod
    def order(self, steps: list[Step], now: float) -> list[Text]:
        """Return the texts that wait, the next one first."""

    @abc.abstractmethod
    def classify(self, text: Text, now: float) -> int:
        """Return the class with which an attempt is sent."""


class FirstComePolicy(Policy):
    """First come, first served, without classes."""

    def order(self, steps: list[Step], now: float) -> list[Text]:
        """Return the texts in the order of their submission."""
        return [text for step in steps for text in step.waiting]

    def classify(self, text: Text, now: float) -> int:
        """Return the class that engines assume if a request states none."""
        return 5


class AgePolicy(Policy):
    """The previous code: a batch's age decides, and its longest texts start first."""

    def order(self, steps: list[Step], now: float) -> list[Text]:
        """Return the texts of the oldest step first."""
        return [
            text
            for step in steps
            for text in sorted(step.waiting, key=lambda item: -item.estimate)
        ]

    def classify(self, text: Text, now: float) -> int:
        """Return a class from 5 down to 1 as the due time passes."""
        passed = (now - text.step.submitted_at) / DUE_SECONDS
        return max(1, 5 - int(4 * passed))


class SlackPolicy(Policy):
    """The product's policy."""

    def __init__(self) -> None:
        self._times = urgency.TypicalTimes()
        self._times.record_event_interval(EVENT_SECONDS)
        self._times.record_scoring(SCORING_SECONDS)
        self._states: dict[tuple[int, int], urgency.StepUrgency] = {}

    def order(self, steps: list[Step], now: float) -> list[Text]:
        """Return the texts with the least slack first, across all steps."""
        texts = []
        for step in steps:
            self._update(step, now)
            texts += step.waiting
        return sorted(texts, key=lambda text: self._rate(text, now))

    def classify(self, text: Text, now: float) -> int:
        """Return the class by slack, and keep it for the next attempt."""
        state = self._find_state(text.step)
        return state.start(_describe(text), _build_terms(text.step), now).urgency_class

    def _update(self, step: Step, now: float) -> None:
        unfinished = [_describe(text) for text in step.texts if text.ended_at is None]
        groups = {text.group for text in step.texts}
        finished = len(groups) - len({item.group for item in unfinished})
        self._find_state(step).update(unfinished, finished, _build_terms(step), now)

    def _rate(self, text: Text, now: float) -> urgency.Urgency:
        return self._find_state(text.step).rate(_describe(text), _build_terms(text.step), now)

    def _find_state(self, step: Step) -> urgency.StepUrgency:
        key = step.trainer, step.number
        if key not in self._states:
            self._states[key] = urgency.StepUrgency(
                step.submitted_at, step.wanted_groups, self._times
            )
        return self._states[key]


def _build_terms(step: Step) -> urgency.StepTerms:
    return urgency.StepTerms(DUE_SECONDS, step.priority)


def _describe(text: Text) -> urgency.UnfinishedItem:
    made = text.events - text.left
    total = text.estimate if text.estimate > made else 2 * made
    return urgency.UnfinishedItem(text.number, text.group, total - made)


class Engine:
    """An engine that runs the most urgent texts and preempts the newest of the least urgent."""

    def __init__(
        self, simulation: policy_simulation.Simulation, name: str, slowdown: float
    ) -> None:
        self.name = name
        self._simulation = simulation
        self._event_seconds = EVENT_SECONDS * slowdown
        self._running: dict[int, tuple[float, Text, Runner, float]] = {}
        """The sequence number of a run with its start, text, runner and arrival."""
        self._queued: list[tuple[int, int, Text, Runner, float]] = []
        self._sequence = 0

    def try_send(self, text: Text, runner: "Runner") -> bool:
        """Queue a text; return whether the engine accepted it."""
        if len(self._queued) + len(self._running) >= SLOTS + QUEUE:
            return False
        self._sequence += 1
        self._queued.append(
            (text.urgency_class, self._sequence, text, runner, self._simulation.now)
        )
        self._fill()
        return True

    def _fill(self) -> None:
        self._queued.sort(key=lambda item: item[:2])
        while self._queued:
            if len(self._running) >= SLOTS and not self._preempt(self._queued[0][0]):
                return
            _, _, text, runner, sent_at = self._queued.pop(0)
            self._run(text, runner, sent_at)

    def _preempt(self, urgency_class: int) -> bool:
        victim = max(self._running, key=lambda key: (self._running[key][1].urgency_class, key))
        started_at, text, runner, sent_at = self._running[victim]
        if text.urgency_class <= urgency_class:
            return False
        del self._running[victim]
        made = max(0.0, self._simulation.now - started_at - _READ_SECONDS) / self._event_seconds
        text.left = max(0.0, text.left - made)
        text.preempted += 1
        self._sequence += 1
        self._queued.append((text.urgency_class, self._sequence, text, runner, sent_at))
        self._queued.sort(key=lambda item: item[:2])
        return True

    def _run(self, text: Text, runner: "Runner", sent_at: float) -> None:
        self._sequence += 1
        key = self._sequence
        now = self._simulation.now
        self._running[key] = (now, text, runner, sent_at)
        if text.started_at is None:
            text.started_at = now
            self._simulation.schedule(_LINK_SECONDS, lambda: runner.begin(self.name, sent_at))
        seconds = _READ_SECONDS + text.left * self._event_seconds
        self._simulation.schedule(seconds, lambda: self._end(key))

    def _end(self, key: int) -> None:
        if key not in self._running:
            return
        _, text, runner, _ = self._running.pop(key)
        text.left = 0.0
        text.ended_at = self._simulation.now
        self._fill()
        runner.end(self.name, self._event_seconds * 1000)


class Runner:
    """An entry that runs the steps of one trainer."""

    def __init__(
        self,
        simulation: policy_simulation.Simulation,
        engines: list[Engine],
        policy: Policy,
        seed: int,
    ) -> None:
        self._simulation = simulation
        self._policy = policy
        self._engines = {engine.name: engine for engine in engines}
        self._router = router.Router(seed, simulation.read_now)
        self._steps: list[Step] = []
        for engine in engines:
            report = peers.PeerReport(
                "z", "engines", "1", 0, 0, SLOTS, 0, None, in_rotation=True, leaving=False
            )
            self._router.update(engine.name, report)
        self._poll()

    def submit(self, step: Step) -> None:
        """Take a step."""
        step.submitted_at = self._simulation.now
        self._steps.append(step)
        self.send_texts()

    def begin(self, name: str, sent_at: float) -> None:
        """Receive the first event of a text."""
        self._router.record_accepted(name, sent_at)
        self._router.remove_pending_stream(name)
        self.send_texts()

    def end(self, name: str, event_ms: float) -> None:
        """Receive the end of a text."""
        self._router.record_event_interval(name, event_ms)
        self._router.record_finished(name, router.RouteOutcome.OK, event_ms)
        self._steps = [step for step in self._steps if len(step.sent) < len(step.texts)]
        self.send_texts()

    def send_texts(self) -> None:
        """Send texts as far as the router allows."""
        now = self._simulation.now
        if not self._steps or self._choose(0.0) is None:
            return
        for text in self._policy.order(self._steps, now):
            name = self._choose(_describe(text).remaining_events)
            if name is None:
                return
            text.urgency_class = self._policy.classify(text, now)
            self._router.record_started(name, is_windowed=True)
            self._router.add_pending_stream(name)
            if self._engines[name].try_send(text, self):
                text.step.sent.add(text.number)
            else:
                self._router.remove_pending_stream(name)
                self._router.record_finished(name, router.RouteOutcome.REFUSED, 1)

    def _choose(self, events: float) -> str | None:
        chosen = self._router.choose(
            router.RouteRequest(
                backend="engines",
                affinity="",
                priority=0,
                oldest_version=-1,
                excluded=frozenset(),
                budget_ms=int(DUE_SECONDS * 1000),
                is_windowed=True,
                expected_events=events,
            )
        )
        return chosen.ok if chosen.is_ok() else None

    def _poll(self) -> None:
        self.send_texts()
        self._simulation.schedule(_POLL_SECONDS, self._poll)


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """Steps of several trainers at shared engines."""

    engines: int = 22
    slow: int = 7
    """Engines that take 1.3 times as long."""
    engines_per_model: int = 11
    trainers: int = 4
    steps: int = 8
    tick_seconds: float = _TICK_SECONDS
    arrival_spread_seconds: float = 0.0
    """All steps arrive within this time; 0 for a step of each trainer at each tick."""
    min_texts: int = 40
    max_texts: int = 64
    groups: int = 4
    wanted_groups: int = 0
    estimate_sigma: float = _ESTIMATE_SIGMA


class Day:
    """Plays a load with a policy."""

    def __init__(
        self, load: Load, create_policy: collections.abc.Callable[[], Policy], seed: int
    ) -> None:
        self._load = load
        self._simulation = policy_simulation.Simulation()
        self._source = random.Random(seed)
        engines = [
            Engine(self._simulation, f"e{number}", 1.3 if number < load.slow else 1.0)
            for number in range(load.engines)
        ]
        self._runners = []
        for trainer in range(load.trainers):
            placed = self._source.sample(engines, load.engines_per_model)
            placed.sort(key=lambda engine: engine.name)
            self._runners.append(
                Runner(self._simulation, placed, create_policy(), seed * 100 + trainer)
            )
        self.steps = [
            self._draw_step(trainer, number)
            for number in range(load.steps)
            for trainer in range(load.trainers)
        ]
        self._arrivals = [self._source.random() for _ in self.steps]

    def play(self, seconds: float) -> None:
        """Submit the steps and run until the given simulated time in seconds."""
        if self._load.arrival_spread_seconds:
            for step, part in zip(self.steps, self._arrivals, strict=True):
                self._schedule(step, part * self._load.arrival_spread_seconds)
        else:
            for step in self.steps:
                if step.number < 2:
                    self._schedule(step, step.number * self._load.tick_seconds)
            self._follow()
        self._simulation.run(seconds)

    def _follow(self) -> None:
        """Submit each step once the step before the previous one is trained."""
        now = self._simulation.now
        for step in self.steps:
            if step.number < 2 or step.submitted_at or now < step.number * self._load.tick_seconds:
                continue
            before = self.steps[(step.number - 2) * self._load.trainers + step.trainer]
            ended_at = before.ended_at
            if ended_at is not None and ended_at + _TRAINING_SECONDS <= now:
                self._submit(step)
        self._simulation.schedule(0.02, self._follow)

    def _schedule(self, step: Step, seconds: float) -> None:
        self._simulation.schedule(seconds, lambda: self._submit(step))

    def _submit(self, step: Step) -> None:
        self._runners[step.trainer].submit(step)

    def _draw_step(self, trainer: int, number: int) -> Step:
        load = self._load
        step = Step(trainer, number, trainer // 2, load.wanted_groups)
        source = self._source
        mean = source.uniform(_MIN_MEAN_EVENTS, _MAX_MEAN_EVENTS)
        count = source.randint(load.min_texts, load.max_texts)
        for text in range(count):
            is_long = source.random() < _LONG_PART
            events = mean / (1 + _LONG_PART * (_LONG_FACTOR - 1)) * source.uniform(0.5, 1.5)
            events = min(_MAX_EVENTS, events * (_LONG_FACTOR if is_long else 1))
            if text == 0:
                events = source.uniform(0.5, 1.0) * _MAX_EVENTS
            estimate = events * source.lognormvariate(0, load.estimate_sigma)
            group = f"g{text * load.groups // count}"
            step.texts.append(Text(step, text, group, events, min(estimate, _MAX_EVENTS), events))
        return step
