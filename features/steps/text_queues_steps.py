"""Steps for texts of several runners at shared engines, with simulated time."""

import dataclasses
import heapq
import random
import statistics

import behave
import routing_steps

from oleander_routing import peers, router

_TICK_SECONDS = 0.005
_SLOTS = 6
_QUEUE = 18
_SEEDS = (1, 2, 3)
_LONG_FRACTION = 0.05
_LONG_SECONDS = (2.0, 5.5)
_SHORT_SECONDS = 0.6
_PREDICTION_SIGMA = 0.5
_EVENT_MS = 35
_EVENT_DELAY_SECONDS = 0.01
"""Time from the first event of a text at an engine until the runner receives it."""


@dataclasses.dataclass(slots=True)
class Text:
    """A text of one runner, with its real and predicted seconds at an engine of normal speed."""

    seconds: float
    predicted_seconds: float
    ended_at: float = 0.0


@dataclasses.dataclass(slots=True)
class SharedEngine:
    """An engine that refuses new texts until its weights are loaded."""

    name: str
    loading_until: float
    slowdown: float
    running: list = dataclasses.field(default_factory=list)
    queued: list = dataclasses.field(default_factory=list)


class StepRunner:
    """Sends the texts of a step, the longest predicted one first, as far as its router allows."""

    def __init__(self, seed, engines, texts, fleet):
        self._fleet = fleet
        self._router = router.Router(seed, lambda: fleet.now)
        self._request = dataclasses.replace(routing_steps.build_request("any"), is_windowed=True)
        self._waiting = [
            (-text.predicted_seconds, number, text) for number, text in enumerate(texts)
        ]
        heapq.heapify(self._waiting)
        for engine in engines:
            report = peers.PeerReport(
                "z", "engines", "1", 0, 0, _SLOTS, 0, None, in_rotation=True, leaving=False
            )
            self._router.update(engine.name, report)

    def send_texts(self):
        while self._waiting:
            _, number, text = self._waiting[0]
            events = text.predicted_seconds * 1000 / _EVENT_MS
            chosen = self._router.choose(
                dataclasses.replace(self._request, expected_events=events)
            )
            if chosen.is_error():
                return
            heapq.heappop(self._waiting)
            self._router.record_started(chosen.ok, is_windowed=True)
            self._router.add_pending_stream(chosen.ok)
            if not self._fleet.send(chosen.ok, self, number, text):
                self.refuse(chosen.ok, number, text)

    def begin(self, name, sent_at):
        self._router.record_accepted(name, sent_at)
        self._router.remove_pending_stream(name)

    def add_texts(self, texts):
        for number, text in enumerate(texts):
            heapq.heappush(self._waiting, (-text.predicted_seconds, number, text))

    def end(self, name, event_ms):
        self._router.record_event_interval(name, event_ms)
        self._router.record_finished(name, router.RouteOutcome.OK, event_ms)

    def refuse(self, name, number, text):
        self._router.remove_pending_stream(name)
        self._router.record_finished(name, router.RouteOutcome.REFUSED, 1)
        heapq.heappush(self._waiting, (-text.predicted_seconds, number, text))


class SharedFleet:
    """Engines shared by runners that don't know of each other's texts."""

    def __init__(self, engines):
        self.now = 0.0
        self.engines = {engine.name: engine for engine in engines}
        self._pending_events = []

    def send(self, name, runner, number, text):
        """Queue a text at an engine; return whether the engine accepted it."""
        engine = self.engines[name]
        is_full = len(engine.queued) + len(engine.running) >= _SLOTS + _QUEUE
        if self.now < engine.loading_until or is_full:
            return False
        engine.queued.append((runner, number, text, self.now))
        return True

    def run(self, runners, texts):
        while any(not text.ended_at or text.ended_at > self.now for text in texts):
            for engine in self.engines.values():
                self._advance(engine)
            while self._pending_events and self._pending_events[0][0] <= self.now:
                _, runner, name, sent_at = self._pending_events.pop(0)
                runner.begin(name, sent_at)
            for runner in runners:
                runner.send_texts()
            self.now += _TICK_SECONDS

    def _advance(self, engine):
        for item in [item for item in engine.running if item[1].ended_at <= self.now]:
            engine.running.remove(item)
            item[0].end(engine.name, _EVENT_MS * engine.slowdown)
        while engine.queued and len(engine.running) < _SLOTS:
            runner, _, text, sent_at = engine.queued.pop(0)
            text.ended_at = self.now + text.seconds * engine.slowdown
            engine.running.append((runner, text))
            seen_at = self.now + _EVENT_DELAY_SECONDS
            self._pending_events.append((seen_at, runner, engine.name, sent_at))


def _draw_texts(source, count, sigma):
    texts = []
    for _ in range(count):
        seconds = source.expovariate(1 / _SHORT_SECONDS)
        if source.random() < _LONG_FRACTION:
            seconds = source.uniform(*_LONG_SECONDS)
        texts.append(Text(seconds, seconds * source.lognormvariate(0, sigma)))
    return texts


def _plan_from_one_queue(fleet, texts, begun_at):
    """Return when each text would end if one queue sent it to the slot where it ends first."""
    slots = [
        (max(0.0, engine.loading_until - begun_at), engine.slowdown)
        for engine in fleet.engines.values()
    ] * _SLOTS
    planned = []
    for text in sorted(texts, key=lambda item: -item.predicted_seconds):
        free_at, slowdown = min(slots, key=lambda slot: slot[0] + text.predicted_seconds * slot[1])
        slots.remove((free_at, slowdown))
        ended_at = free_at + text.seconds * slowdown
        slots.append((ended_at, slowdown))
        planned.append(ended_at)
    return planned


def _measure_lateness(context, seed, runners, count, are_speeds_known):
    """Return by how many seconds a step ends later than with one queue for all engines."""
    source = random.Random(seed)
    fleet = SharedFleet(context.create_engines())
    engines = fleet.engines.values()
    step_runners = [
        StepRunner(seed * runners + number, engines, [], fleet) for number in range(runners)
    ]
    if are_speeds_known:
        _run_step(
            fleet,
            step_runners,
            [_draw_texts(source, count, context.prediction_sigma) for _ in step_runners],
        )
    begun_at = fleet.now
    texts = _run_step(
        fleet,
        step_runners,
        [_draw_texts(source, count, context.prediction_sigma) for _ in step_runners],
    )
    ended_at = max(text.ended_at for text in texts) - begun_at
    return ended_at - max(_plan_from_one_queue(fleet, texts, begun_at))


def _run_step(fleet, step_runners, steps):
    for runner, step in zip(step_runners, steps, strict=True):
        runner.add_texts(step)
    texts = [text for step in steps for text in step]
    fleet.run(step_runners, texts)
    return texts


@behave.given("{engines:d} engines, of which {loading:d} load weights for the first {seconds:g} s")
def describe_loading(context, engines, loading, seconds):
    context.prediction_sigma = _PREDICTION_SIGMA
    context.create_engines = lambda: [
        SharedEngine(f"e{number}", seconds if number < loading else 0.0, 1.0)
        for number in range(engines)
    ]


@behave.given(
    "{engines:d} engines, of which {slow:d} are {slowdown:g} times slower, and exact predictions"
)
def describe_slow(context, engines, slow, slowdown):
    context.prediction_sigma = 0.0
    context.create_engines = lambda: [
        SharedEngine(f"e{number}", 0.0, slowdown if number < slow else 1.0)
        for number in range(engines)
    ]


@behave.when("{runners:d} runners send steps of {count:d} texts each")
def send_steps(context, runners, count):
    context.lateness = [_measure_lateness(context, seed, runners, count, False) for seed in _SEEDS]


@behave.when(
    "{runners:d} runners send steps of {count:d} texts each, after a step that showed the "
    "engines' speeds"
)
def send_steps_after_first(context, runners, count):
    context.lateness = [_measure_lateness(context, seed, runners, count, True) for seed in _SEEDS]


@behave.then(
    "all steps are complete at most {seconds:g} s later than with one queue for all engines"
)
@behave.then(
    "all steps are complete at most {seconds:g} s later than if each text ran where it ends first"
)
def check_ends(context, seconds):
    assert statistics.mean(context.lateness) <= seconds, context.lateness
