"""Steps for texts of several runners at shared engines; time is simulated."""

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
_LONG_PART = 0.05
_LONG_SECONDS = (2.0, 5.5)
_SHORT_SECONDS = 0.6
_GUESS_SIGMA = 0.5
_EVENT_MS = 35
_ANNOUNCED_SECONDS = 0.01
"""From an engine's first event until its runner has seen it."""


@dataclasses.dataclass(slots=True)
class Text:
    """A text of one runner; times in seconds."""

    seconds: float
    guess: float
    ended_at: float = 0.0


@dataclasses.dataclass(slots=True)
class SharedEngine:
    """An engine that refuses what has not begun while it loads."""

    name: str
    loads_until: float
    slower: float
    running: list = dataclasses.field(default_factory=list)
    queued: list = dataclasses.field(default_factory=list)


class QueueRunner:
    """Hands out one step, the longest guess first, as far as its router allows."""

    def __init__(self, seed, engines, texts, fleet):
        self._fleet = fleet
        self._router = router.Router(seed, lambda: fleet.now)
        self._request = dataclasses.replace(routing_steps.build_request("any"), is_windowed=True)
        self._waiting = [(-text.guess, number, text) for number, text in enumerate(texts)]
        heapq.heapify(self._waiting)
        for engine in engines:
            report = peers.PeerReport(
                "z", "engines", "1", 0, 0, _SLOTS, 0, None, in_rotation=True, leaving=False
            )
            self._router.update(engine.name, report)

    def hand_out(self):
        while self._waiting:
            _, number, text = self._waiting[0]
            events = text.guess * 1000 / _EVENT_MS
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
            heapq.heappush(self._waiting, (-text.guess, number, text))

    def end(self, name, event_ms):
        self._router.record_event_interval(name, event_ms)
        self._router.record_finished(name, router.RouteOutcome.OK, event_ms)

    def refuse(self, name, number, text):
        self._router.remove_pending_stream(name)
        self._router.record_finished(name, router.RouteOutcome.REFUSED, 1)
        heapq.heappush(self._waiting, (-text.guess, number, text))


class SharedFleet:
    """Engines, and the runners that send to them without knowing of each other."""

    def __init__(self, engines):
        self.now = 0.0
        self.engines = {engine.name: engine for engine in engines}
        self._announced = []

    def send(self, name, runner, number, text):
        """Queue a text; return whether the engine took it."""
        engine = self.engines[name]
        is_full = len(engine.queued) + len(engine.running) >= _SLOTS + _QUEUE
        if self.now < engine.loads_until or is_full:
            return False
        engine.queued.append((runner, number, text, self.now))
        return True

    def play(self, runners, texts):
        while any(not text.ended_at or text.ended_at > self.now for text in texts):
            for engine in self.engines.values():
                self._advance(engine)
            while self._announced and self._announced[0][0] <= self.now:
                _, runner, name, sent_at = self._announced.pop(0)
                runner.begin(name, sent_at)
            for runner in runners:
                runner.hand_out()
            self.now += _TICK_SECONDS

    def _advance(self, engine):
        for item in [item for item in engine.running if item[1].ended_at <= self.now]:
            engine.running.remove(item)
            item[0].end(engine.name, _EVENT_MS * engine.slower)
        while engine.queued and len(engine.running) < _SLOTS:
            runner, _, text, sent_at = engine.queued.pop(0)
            text.ended_at = self.now + text.seconds * engine.slower
            engine.running.append((runner, text))
            seen_at = self.now + _ANNOUNCED_SECONDS
            self._announced.append((seen_at, runner, engine.name, sent_at))


def _draw_texts(source, count, sigma):
    texts = []
    for _ in range(count):
        seconds = source.expovariate(1 / _SHORT_SECONDS)
        if source.random() < _LONG_PART:
            seconds = source.uniform(*_LONG_SECONDS)
        texts.append(Text(seconds, seconds * source.lognormvariate(0, sigma)))
    return texts


def _plan_from_one_queue(fleet, texts, begun_at):
    """Return when each text would end if all waited in one queue and went where they end first."""
    slots = [
        (max(0.0, engine.loads_until - begun_at), engine.slower)
        for engine in fleet.engines.values()
    ] * _SLOTS
    planned = []
    for text in sorted(texts, key=lambda item: -item.guess):
        free_at, slower = min(slots, key=lambda slot: slot[0] + text.guess * slot[1])
        slots.remove((free_at, slower))
        ended_at = free_at + text.seconds * slower
        slots.append((ended_at, slower))
        planned.append(ended_at)
    return planned


def _measure_lateness(context, seed, runners, count, is_known):
    """Return how much later the texts of a step are whole than from one queue."""
    source = random.Random(seed)
    fleet = SharedFleet(context.create_engines())
    engines = fleet.engines.values()
    known = [QueueRunner(seed * runners + number, engines, [], fleet) for number in range(runners)]
    if is_known:
        _play_step(fleet, known, [_draw_texts(source, count, context.guess_sigma) for _ in known])
    begun_at = fleet.now
    texts = _play_step(
        fleet, known, [_draw_texts(source, count, context.guess_sigma) for _ in known]
    )
    ended_at = max(text.ended_at for text in texts) - begun_at
    return ended_at - max(_plan_from_one_queue(fleet, texts, begun_at))


def _play_step(fleet, known, steps):
    for runner, step in zip(known, steps, strict=True):
        runner.add_texts(step)
    texts = [text for step in steps for text in step]
    fleet.play(known, texts)
    return texts


@behave.given("{engines:d} engines, of which {loading:d} load weights for the first {seconds:g} s")
def describe_loading(context, engines, loading, seconds):
    context.guess_sigma = _GUESS_SIGMA
    context.create_engines = lambda: [
        SharedEngine(f"e{number}", seconds if number < loading else 0.0, 1.0)
        for number in range(engines)
    ]


@behave.given(
    "{engines:d} engines, of which {slow:d} are {slower:g} times slower, and guesses that hold"
)
def describe_slow(context, engines, slow, slower):
    context.guess_sigma = 0.0
    context.create_engines = lambda: [
        SharedEngine(f"e{number}", 0.0, slower if number < slow else 1.0)
        for number in range(engines)
    ]


@behave.when("{runners:d} runners hand out steps of {count:d} texts each")
def hand_out_steps(context, runners, count):
    context.late = [_measure_lateness(context, seed, runners, count, False) for seed in _SEEDS]


@behave.when(
    "{runners:d} runners hand out steps of {count:d} texts each, once they know the engines"
)
def hand_out_again(context, runners, count):
    context.late = [_measure_lateness(context, seed, runners, count, True) for seed in _SEEDS]


@behave.then("all are whole {seconds:g} s later at most than from one queue before all engines")
@behave.then("all are whole {seconds:g} s later at most than if each went where it ends first")
def check_ends(context, seconds):
    assert statistics.mean(context.late) <= seconds, context.late
